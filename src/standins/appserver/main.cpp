// Fake application server for tests.
#include "application.h"

#include "../common/program.h"

#include <CLI/CLI.hpp>

using namespace peridotgrade;
using namespace peridotgrade::standins;

int main(int argc, char** argv)
{
    CLI::App app {
        "Fake application server for tests: GET and HEAD are reads, any other method is an action"
    };
    ProgramOptions program;
    ApplicationSettings settings;
    addProgramOptions(app, program);
    app.add_option("--delay-ms", settings.delayMs, "delay of each request before it takes effect");
    app.footer("Switches of POST /control: delay_ms, answer_delay_ms, lose_answers, drop_calls, fail_calls, "
               "lost_answer_share");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context(1);
    Application application(program.seed, settings);
    ControlPort control;
    application.addSwitches(control);
    control.setSnapshot([&application] { return application.counts(); });
    return serveProgram(
        context, program, [&application](HttpExchange& exchange) { return application.serve(exchange); },
        control);
}
