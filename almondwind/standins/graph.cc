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

void Write(const fs::path& file, const std::string& text) {
  fs::create_directories(file.parent_path());
  std::ofstream(file) << text;
}

std::string NodeSettings(const Graph& g, const GraphService& s,
                         const GraphHost& h, const std::string& log_level) {
  // Seeds: the first hosts of the graph, so that a node without a platform
  // finds its peers.
  return fmt::format(
      "[host]\nname = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\n\n"
      "[listen]\ncallers = \"{}\"\nlinks = \"{}\"\ncontrol = \"{}\"\n"
      "operators = \"{}\"\n\n"
      "[upstream]\nservice = \"{}/{}\"\naddress = \"{}\"\nslots = {}\n"
      "connections = {}\nhealth = \"/health\"\n\n"
      "[platform]\naddress = \"{}\"\nseeds = [\"{}\", \"{}\", \"{}\"]\n\n"
      "[process]\nlog = \"{}\"\n",
      h.name, h.zone, g.region, g.Callers(h.index), g.Links(h.index),
      g.Control(h.index), g.Operators(h.index), g.team, s.name,
      g.Upstream(h.index), h.slots, s.connections, g.Platform(), g.Control(0),
      g.Control(1), g.Control(2), log_level);
}

std::string HostList(const Graph& g, const GraphService& s,
                     const std::string& relayed_zone) {
  std::string out;
  for (const GraphHost& h : s.hosts) {
    bool relayed = h.zone == relayed_zone;
    out += fmt::format(
        "[[hosts]]\nname = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\n"
        "link = \"{}\"\ncontrol = \"{}\"\nstate = \"live\"\n",
        h.name, h.zone, g.region,
        relayed ? g.RelayedLinks(h.index) : g.Links(h.index),
        relayed ? g.RelayedControl(h.index) : g.Control(h.index));
  }
  return out;
}

std::string Ways(const Graph& g, const std::string& relayed_zone) {
  std::string out;
  for (const GraphService& s : g.services) {
    for (const GraphHost& h : s.hosts) {
      if (h.zone != relayed_zone) continue;
      out += fmt::format("--way {}={} --way {}={}\n", g.RelayedLinks(h.index),
                         g.Links(h.index), g.RelayedControl(h.index),
                         g.Control(h.index));
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
  if (!policy) throw std::runtime_error(policy_file + ": cannot be read");
  std::stringstream text;
  text << policy.rdbuf();
  Write(root / "platform/teams" / (graph.team + ".toml"), text.str());
  Write(root / "ways", Ways(graph, relayed_zone));
  for (const GraphService& service : graph.services) {
    Write(root / "platform/hosts" / graph.team / (service.name + ".toml"),
          HostList(graph, service, relayed_zone));
    for (const GraphHost& host : service.hosts) {
      Write(root / "nodes" / (host.name + ".toml"),
            NodeSettings(graph, service, host, log_level));
    }
  }
}

}  // namespace almondwind::standins
