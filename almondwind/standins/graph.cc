#include "almondwind/standins/graph.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace almondwind::standins {
namespace {

namespace fs = std::filesystem;

GraphRoute ReadRoute(const toml::table& table) {
  GraphRoute route;
  route.prefix = table["prefix"].value_or(std::string("/"));
  route.work_ms = table["work_ms"].value_or(1.0);
  route.bytes = table["bytes"].value_or(200);
  if (const toml::array* calls = table["calls"].as_array()) {
    for (const toml::node& call : *calls) {
      std::istringstream text(call.value_or(std::string()));
      GraphCall out;
      text >> out.method >> out.target;
      route.calls.push_back(out);
    }
  }
  return route;
}

void WriteFile(const fs::path& file, const std::string& text) {
  fs::create_directories(file.parent_path());
  std::ofstream(file) << text;
}

std::string NodeSettingsText(const Graph& g, const GraphService& s,
                             const GraphHost& h, const std::string& log_level) {
  // The seeds are the first three hosts of the graph, so that a node finds its
  // peers while the platform is down.
  return fmt::format(
      "[host]\nname = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\n\n"
      "[listen]\ncallers = \"{}\"\nlinks = \"{}\"\ncontrol = \"{}\"\n"
      "operators = \"{}\"\n\n"
      "[upstream]\nservice = \"{}/{}\"\naddress = \"{}\"\nslots = {}\n"
      "connections = {}\nhealth = \"/health\"\n\n"
      "[platform]\naddress = \"{}\"\nseeds = [\"{}\", \"{}\", \"{}\"]\n\n"
      "[process]\nlog = \"{}\"\n",
      h.name, h.zone, g.region, g.CallersAddress(h.index),
      g.LinksAddress(h.index), g.ControlAddress(h.index),
      g.OperatorsAddress(h.index), g.team, s.name, g.UpstreamAddress(h.index),
      h.slots, s.connections, g.PlatformAddress(), g.ControlAddress(0),
      g.ControlAddress(1), g.ControlAddress(2), log_level);
}

std::string HostListText(const Graph& g, const GraphService& s,
                         const std::string& relayed_zone) {
  std::string out;
  for (const GraphHost& h : s.hosts) {
    bool relayed = h.zone == relayed_zone;
    out += fmt::format(
        "[[hosts]]\nname = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\n"
        "link = \"{}\"\ncontrol = \"{}\"\nstate = \"live\"\n",
        h.name, h.zone, g.region,
        relayed ? g.RelayedLinksAddress(h.index) : g.LinksAddress(h.index),
        relayed ? g.RelayedControlAddress(h.index) : g.ControlAddress(h.index));
  }
  return out;
}

std::string RelayOptions(const Graph& g, const std::string& relayed_zone) {
  std::string out;
  for (const GraphService& s : g.services) {
    for (const GraphHost& h : s.hosts) {
      if (h.zone != relayed_zone) continue;
      out += fmt::format(
          "--way {}={} --way {}={}\n", g.RelayedLinksAddress(h.index),
          g.LinksAddress(h.index), g.RelayedControlAddress(h.index),
          g.ControlAddress(h.index));
    }
  }
  return out;
}

}  // namespace

std::string Graph::Address(int index, int offset) const {
  return fmt::format("127.0.0.1:{}", base_port + 10 + index * 10 + offset);
}

Graph ReadGraph(const std::string& file) {
  toml::table document = toml::parse_file(file);
  Graph graph;
  graph.team = document["team"].value_or(std::string());
  graph.region = document["region"].value_or(std::string());
  graph.base_port = document["base_port"].value_or(21000);
  std::vector<std::string> zones;
  for (const toml::node& zone : *document["zones"].as_array()) {
    zones.push_back(zone.value_or(std::string()));
  }
  int index = 0;
  for (const toml::node& node : *document["services"].as_array()) {
    const toml::table& table = *node.as_table();
    GraphService service;
    service.name = table["name"].value_or(std::string());
    service.slots = table["slots"].value_or(1);
    service.connections = table["connections"].value_or(16);
    int servers = table["servers"].value_or(1);
    const toml::array* speeds = table["speeds"].as_array();
    for (int i = 0; i < servers; ++i) {
      GraphHost host;
      host.zone = zones[static_cast<size_t>(i) % zones.size()];
      host.name = fmt::format("{}-{}-{}", graph.team, service.name, i + 1);
      host.index = index++;
      host.slots = service.slots;
      if (speeds != nullptr) {
        host.speed = speeds->at(static_cast<size_t>(i)).value_or(1.0);
      }
      service.hosts.push_back(host);
    }
    for (const toml::node& route : *table["routes"].as_array()) {
      service.routes.push_back(ReadRoute(*route.as_table()));
    }
    graph.services.push_back(std::move(service));
  }
  return graph;
}

void WriteLayout(const Graph& graph, const std::string& policy_file,
                 const std::string& folder, const std::string& log_level,
                 const std::string& relayed_zone) {
  fs::path root(folder);
  std::ifstream policy(policy_file);
  if (!policy)
    throw std::runtime_error(policy_file + ": cannot read policy file");
  std::stringstream text;
  text << policy.rdbuf();
  WriteFile(root / "platform/teams" / (graph.team + ".toml"), text.str());
  WriteFile(root / "ways", RelayOptions(graph, relayed_zone));
  for (const GraphService& service : graph.services) {
    WriteFile(root / "platform/hosts" / graph.team / (service.name + ".toml"),
              HostListText(graph, service, relayed_zone));
    for (const GraphHost& host : service.hosts) {
      WriteFile(root / "nodes" / (host.name + ".toml"),
                NodeSettingsText(graph, service, host, log_level));
    }
  }
}

}  // namespace almondwind::standins
