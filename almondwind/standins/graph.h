// A users' service graph as the stand-ins play it, read from graphs/NAME.toml:
// services, their servers by zone, and what each route costs and calls.
#ifndef ALMONDWIND_STANDINS_GRAPH_H_
#define ALMONDWIND_STANDINS_GRAPH_H_

#include <string>
#include <vector>

namespace almondwind::standins {

struct GraphCall {
  std::string method;
  std::string target;  // "/team/service/path"
};

struct GraphRoute {
  std::string prefix;
  double work_ms = 1;
  int bytes = 200;  // of the answer
  std::vector<GraphCall> calls;
};

struct GraphHost {
  std::string name;
  std::string zone;
  int index = 0;  // over the whole graph
  int slots = 1;
  double speed = 1;
};

struct GraphService {
  std::string name;
  int slots = 1;
  int connections = 16;
  std::vector<GraphHost> hosts;
  std::vector<GraphRoute> routes;
};

struct Graph {
  std::string team;
  std::string region;
  int base_port = 21000;
  std::vector<GraphService> services;

  // Addresses of host `index`; each host has ten ports.
  std::string CallersAddress(int index) const { return Address(index, 0); }
  std::string LinksAddress(int index) const { return Address(index, 1); }
  std::string ControlAddress(int index) const { return Address(index, 2); }
  std::string OperatorsAddress(int index) const { return Address(index, 3); }
  std::string UpstreamAddress(int index) const { return Address(index, 4); }
  // Where a relay stands in front of a host, if one does.
  std::string RelayedLinksAddress(int index) const { return Address(index, 5); }
  std::string RelayedControlAddress(int index) const {
    return Address(index, 6);
  }
  std::string PlatformAddress() const { return Address(-1, 0); }
  std::string AdminAddress() const { return Address(-1, 1); }

 private:
  std::string Address(int index, int offset) const;
};

// Throws std::exception on a fault.
Graph ReadGraph(const std::string& file);

// Writes settings of each node, and the platform's values, below `folder`.
// Hosts of `relayed_zone` are published at the addresses of a relay, whose
// ways are written to `folder`/ways.
void WriteLayout(const Graph& graph, const std::string& policy_file,
                 const std::string& folder, const std::string& log_level,
                 const std::string& relayed_zone);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_GRAPH_H_
