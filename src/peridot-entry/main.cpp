// Entry point of peridot-entry.
#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app { "peridot-entry" };
    app.set_version_flag("--version", PERIDOT_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
