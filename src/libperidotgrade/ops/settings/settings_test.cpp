// Tests of settings files: defaults, the samples, and errors that name file, key and fix.
#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/ops/settings/agent_settings.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const std::string Required
    = R"("nodeName":"e1","dataCentre":"lj-a","listen":"127.0.0.1:1",)"
      R"("adminListen":"127.0.0.1:2","peerListen":"127.0.0.1:3","platform":"127.0.0.1:4")";

SettingsError entryErrorOf(const std::string& text)
{
    auto result = parseEntrySettings(text, "e.json");
    BOOST_REQUIRE(std::holds_alternative<SettingsError>(result));
    return std::get<SettingsError>(result);
}

struct BadCase {
    std::string text;
    SettingsErrorKind kind;
    std::string key;
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(missing_keys_get_defaults)
{
    auto result = parseEntrySettings("{" + Required + R"(,"targets":{"firstTokenMs":500}})", "e.json");
    BOOST_REQUIRE(std::holds_alternative<EntrySettings>(result));
    const auto& settings = std::get<EntrySettings>(result);
    BOOST_TEST((settings.targets.firstToken == 500ms));
    BOOST_TEST((settings.targets.interToken == 77ms));
    BOOST_TEST(settings.node.platform.port == 4);
}

BOOST_AUTO_TEST_CASE(errors_name_file_key_and_fix)
{
    const std::string operators = R"(,"operators":[{"name":"ana","keySha256":"12"}]})";
    std::vector<BadCase> cases {
        { "{", SettingsErrorKind::NotJson, "" },
        { "[]", SettingsErrorKind::NotJson, "" },
        { "{" + Required + R"(,"shard":2})", SettingsErrorKind::UnknownKey, "shard" },
        { "{" + Required + R"(,"targets":{"firstTokenSeconds":1}})", SettingsErrorKind::UnknownKey,
            "targets.firstTokenSeconds" },
        { "{" + Required + R"(,"targets":{"firstTokenMs":"820ms"}})", SettingsErrorKind::BadValue,
            "targets.firstTokenMs" },
        { "{" + Required + R"(,"targets":{"firstTokenMs":0.82}})", SettingsErrorKind::BadValue,
            "targets.firstTokenMs" },
        { R"({"nodeName":"e1"})", SettingsErrorKind::MissingKey, "dataCentre" },
        { "{" + Required + operators, SettingsErrorKind::BadValue, "operators[0].keySha256" },
        { "{" + Required + R"(,"peers":["example.org:80"]})", SettingsErrorKind::BadValue, "peers" },
        { "{" + Required + R"(,"shards":0})", SettingsErrorKind::BadValue, "shards" },
    };
    for (const BadCase& each : cases) {
        SettingsError error = entryErrorOf(each.text);
        BOOST_TEST_CONTEXT(each.text << " -> " << error.message())
        {
            BOOST_TEST(nameOf(error.kind) == nameOf(each.kind));
            BOOST_TEST(error.key == each.key);
            BOOST_TEST(error.file == "e.json");
            BOOST_TEST(!error.fix.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(two_listeners_on_one_address_are_refused)
{
    std::string text = "{" + Required + "}";
    text.replace(text.find("127.0.0.1:2"), 11, "127.0.0.1:1");
    BOOST_TEST(entryErrorOf(text).key == "adminListen");
}

BOOST_AUTO_TEST_CASE(all_samples_are_valid)
{
    std::filesystem::path folder = std::filesystem::path { PERIDOT_SOURCE_DIR } / "samples";
    int entries = 0;
    int agents = 0;
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder)) {
        std::string name = file.path().filename().string();
        std::string path = file.path().string();
        if (name.starts_with("entry") && name.ends_with(".json")) {
            auto result = readEntrySettings(path);
            auto* error = std::get_if<SettingsError>(&result);
            BOOST_TEST(error == nullptr, (error == nullptr ? "" : error->message()));
            ++entries;
        }
        if (name.starts_with("agent") && name.ends_with(".json")) {
            auto result = readAgentSettings(path);
            auto* error = std::get_if<SettingsError>(&result);
            BOOST_TEST(error == nullptr, (error == nullptr ? "" : error->message()));
            ++agents;
        }
    }
    BOOST_TEST(entries == 7);
    BOOST_TEST(agents == 14);
}

BOOST_AUTO_TEST_CASE(a_key_is_hashed_with_sha256)
{
    BOOST_TEST(keySha256("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_SUITE_END()
