// The stand-ins of tests, demo and benchmarks: upstreams, the platform, a relay
// that blocks or delays connections, and a command that writes the settings and
// platform values of a graph.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "almondwind/standins/graph.h"
#include "almondwind/standins/platform.h"
#include "almondwind/standins/relay.h"
#include "almondwind/standins/upstreams.h"

namespace {

int RunUntilSignal(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  using almondwind::standins::ReadGraph;
  CLI::App app(
      "stand-ins for the upstreams, platform and network around almondwind");
  app.require_subcommand(1);
  std::string graph_file;
  std::string folder;
  std::string policy;
  std::string log_level = "warn";
  std::string relayed_zone;
  bool direct = false;
  std::vector<std::string> forwards;
  std::string admin;
  boost::asio::io_context io(1);

  auto* layout = app.add_subcommand(
      "layout", "write the settings of all nodes and the platform's values");
  layout->add_option("--graph", graph_file)->required();
  layout->add_option("--policy", policy)->required();
  layout->add_option("--out", folder)->required();
  layout->add_option("--log", log_level);
  layout->add_option("--relayed-zone", relayed_zone,
                     "publish the hosts of this zone at a relay");
  layout->callback([&] {
    almondwind::standins::WriteLayout(ReadGraph(graph_file), policy, folder,
                                      log_level, relayed_zone);
  });

  auto* upstreams = app.add_subcommand("upstreams", "all back ends");
  upstreams->add_option("--graph", graph_file)->required();
  upstreams->add_flag("--direct", direct,
                      "make inner calls straight to upstreams, without nodes");
  upstreams->callback([&] {
    almondwind::standins::ServeUpstreams(io, ReadGraph(graph_file), direct);
    RunUntilSignal(io);
  });

  auto* platform =
      app.add_subcommand("platform", "serve the configuration service");
  platform->add_option("--graph", graph_file)->required();
  platform->add_option("--values", folder)->required();
  platform->callback([&] {
    auto graph = ReadGraph(graph_file);
    almondwind::standins::ServePlatform(io, graph.PlatformAddress(), folder);
    RunUntilSignal(io);
  });

  auto* relay = app.add_subcommand(
      "relay", "forward TCP connections; blocks or delays them on demand");
  relay->add_option("--way", forwards, "FROM=TO, both IP:PORT")->required();
  relay->add_option("--admin", admin)->required();
  relay->callback([&] {
    almondwind::standins::ServeRelay(io, forwards, admin);
    RunUntilSignal(io);
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  } catch (const std::exception& e) {
    std::cerr << "standin: " << e.what() << "\n";
    return 2;
  }
  return 0;
}
