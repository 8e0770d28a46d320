// The almondwind program: the commands `node`, `sidecar`, `load` and `version`,
// and those that cli/commands.h adds.

#include <pplx/threadpool.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "almondwind/cli/commands.h"
#include "almondwind/load/load.h"
#include "almondwind/node/process.h"
#include "almondwind/node/settings.h"
#include "almondwind/teams/knob.h"
#include "platform/run.h"

namespace {

constexpr const char* kVersion = "0.1.0";
constexpr int kCpprestThreads = 2;  // the default of cpprestsdk is 40
constexpr int kExitFault = 2;

}  // namespace

int main(int argc, char** argv) {
  using almondwind::cli::AddCommands;
  CLI::App app("almondwind: overload control for service call graphs");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success, 1 the run or shutdown did not complete cleanly, "
      "2 invalid arguments or settings.\n"
      "Examples:\n"
      "  almondwind node --settings /etc/almondwind/node.toml\n"
      "  almondwind check --settings node.toml --policies policies/\n"
      "  almondwind load --mix mixes/addis.toml --seconds 15");
  int code = 0;

  std::string settings;
  auto* node = app.add_subcommand("node", "run the node of this host");
  node->add_option("--settings", settings, "settings file (TOML)")->required();
  node->callback([&] {
    crossplat::threadpool::initialize_with_threads(kCpprestThreads);
    code =
        almondwind::node::RunNode(almondwind::node::ReadSettingsFile(settings));
  });

  std::string bind_links;
  auto* sidecar =
      app.add_subcommand("sidecar", "run the sidecar node of a server");
  sidecar->add_option("--bind-links", bind_links,
                      "IP:PORT to listen on for links, if the address that "
                      "peers use is forwarded to it");
  sidecar->callback([&] { code = platform::RunSidecar(bind_links); });

  almondwind::load::LoadOptions load;
  auto* load_app =
      app.add_subcommand("load", "generate load from a request mix");
  almondwind::load::AddOptions(*load_app, load);
  load_app->callback([&] { code = almondwind::load::RunLoad(load); });

  AddCommands(app, code);

  app.add_subcommand("version", "print the version")->callback([] {
    std::cout << "almondwind " << kVersion << "\n";
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    int result = app.exit(e);
    return result == 0 ? 0 : kExitFault;
  } catch (const std::exception& e) {
    std::cerr << "almondwind: " << e.what() << "\n";
    return kExitFault;
  }
  return code;
}
