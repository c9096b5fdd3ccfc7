#include "daemon/daemonprocess.h"

#include <docopt/docopt.h>

namespace {

constexpr char usage[] = R"(flamingod - query tier between callers and endpoints

Usage:
  flamingod --settings=FILE [--check] [--bootstrap]
  flamingod --help
  flamingod --version

Options:
  --settings=FILE  YAML file with the settings of this VM.
  --check          Check the settings and exit: 0 if they are valid, 2 if not.
  --bootstrap      Allow this VM's control role to form a new cluster with the other
                   listed members, if all of them have empty data folders.
  --help           Show this text.
  --version        Show the version.
)";

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, FLAMINGO_VERSION);
    const std::string settingsFile = arguments.at("--settings").asString();
    if (arguments.at("--check").asBool())
        return flamingo::checkSettingsFile(settingsFile);
    return flamingo::runDaemonProcess(settingsFile, arguments.at("--bootstrap").asBool(), {});
}
