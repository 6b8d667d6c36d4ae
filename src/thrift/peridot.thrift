// Messages between peridotgrade's own processes. Compact protocol in length-prefixed frames.
namespace cpp peridotgrade.wire

struct VersionNotice {
  1: i64 version
}
