// Entry point of peridot-agent.
#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app { "peridot-agent" };
    app.set_version_flag("--version", PERIDOT_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
