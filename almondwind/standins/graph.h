// The service graph that the stand-ins simulate, read from graphs/NAME.toml:
// the services, their servers by zone, and the work and downstream calls of
// each route.
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
  int bytes = 200;  // size of the response body
  std::vector<GraphCall> calls;
};

struct GraphHost {
  std::string name;
  std::string zone;
  int index = 0;  // unique over the whole graph
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

  // Addresses of the host with this index. Each host has ten ports.
  std::string CallersAddress(int index) const { return Address(index, 0); }
  std::string LinksAddress(int index) const { return Address(index, 1); }
  std::string ControlAddress(int index) const { return Address(index, 2); }
  std::string OperatorsAddress(int index) const { return Address(index, 3); }
  std::string UpstreamAddress(int index) const { return Address(index, 4); }
  // Addresses of the relay in front of the host, if it has one.
  std::string RelayedLinksAddress(int index) const { return Address(index, 5); }
  std::string RelayedControlAddress(int index) const {
    return Address(index, 6);
  }
  std::string PlatformAddress() const { return Address(-1, 0); }
  std::string AdminAddress() const { return Address(-1, 1); }

 private:
  std::string Address(int index, int offset) const;
};

// Throws std::exception if the file is invalid.
Graph ReadGraph(const std::string& file);

// Writes the settings of each node and the platform's values to `folder`. Hosts
// of `relayed_zone` are published at the addresses of a relay, whose
// command-line options are written to `folder`/ways.
void WriteLayout(const Graph& graph, const std::string& policy_file,
                 const std::string& folder, const std::string& log_level,
                 const std::string& relayed_zone);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_GRAPH_H_
