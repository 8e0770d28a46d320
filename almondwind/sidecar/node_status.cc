// Status pages for operators: the state of a node, and how it would handle a
// given request.

#include <nlohmann/json.hpp>

#include "almondwind/sidecar/node.h"

namespace almondwind::sidecar {

using nlohmann::json;

json Node::Status() {
  links::Load load = gate_.Load();
  json peers = json::array();
  for (const peers::Link* link : mesh_.up_links()) {
    peers.push_back({{"address", link->peer()}, {"zone", link->zone()}});
  }
  json rooms = json::object();
  for (const auto& [service, room] : traffic_.plan().capacities()) {
    rooms[service] = {{"slots", room.slots},
                      {"wanted", traffic_.plan().wanted(service)},
                      {"factor", traffic_.plan().factor(service)},
                      {"wait_ms", room.wait_ms},
                      {"slot_ms", room.slot_ms}};
  }
  return {
      {"node", settings_.node},
      {"zone", settings_.zone},
      {"service", settings_.service},
      {"upstream", settings_.upstream},
      {"ready", ready()},
      {"leaving", stopping_},
      {"config_version", config_version()},
      {"fleet_revision", documents_.view().revision().number},
      {"store_epoch", documents_.view().revision().epoch},
      {"crash_suspects", history_.size()},
      {"upstreams", documents_.view().upstreams().size()},
      {"store_watch",
       base::NameOf(fleet::kWatchModeNames, documents_.watch_mode())},
      {"confirmed_ms_ago", (timers_.Now() - documents_.confirmed_at()).count()},
      {"peers", peers},
      {"gate",
       {{"in_progress", load.in_progress},
        {"limit", load.limit},
        {"service_ms", load.service_ms}}},
      {"entries_in_progress", dispatcher_.in_progress()},
      {"rooms", rooms}};
}

json Node::Explain(const std::string& host, const std::string& target) {
  json out = {{"config_version", config_version()}};
  const routes::RouteTablePtr& table = documents_.table();
  if (table == nullptr) {
    out["refused"] = "no configuration is known yet";
    return out;
  }
  std::string path = target.substr(0, target.find('?'));
  const routes::Route* route = table->Match(host, path);
  if (route == nullptr) {
    out["refused"] = "no route of this host has a prefix of this path";
    return out;
  }
  out["route"] = {{"name", route->name},
                  {"prefix", route->prefix},
                  {"idempotent", route->idempotent},
                  {"max_attempts", route->max_attempts},
                  {"timeout_ms", route->timeout.count()},
                  {"target_latency_ms", route->target_latency.count()},
                  {"priority", route->priority},
                  {"sent_by", traffic_.KindName(route->name)}};
  out["admission"] = {{"share", traffic_.plan().share(route->name)},
                      {"bound_by", traffic_.plan().bound_by(route->name)}};
  out["parts"] = json::array();
  for (const routes::Destination& destination : route->destinations) {
    out["parts"].push_back(DescribeDestination(*route, destination));
  }
  return out;
}

json Node::DescribeDestination(const routes::Route& route,
                               const routes::Destination& destination) {
  base::Millis now = timers_.Now();
  json upstreams = json::array();
  for (const zones::MachinePtr& machine :
       dispatcher_.directory().Find(destination.service)) {
    const zones::HostEntry& entry = machine->entry();
    bool local = entry.link == settings_.links;
    upstreams.push_back(
        {{"id", entry.name},
         {"zone", entry.zone},
         {"reachable", local || mesh_.Find(entry.link) != nullptr},
         {"leaving", machine->leaving()},
         {"usable", machine->Usable(now, dispatcher_.eject_options())},
         {"in_progress", machine->load().in_progress},
         {"outstanding", machine->outstanding()},
         {"limit", machine->load().limit},
         {"quality", machine->quality()},
         {"heard_ms_ago", (now - machine->load_at()).count()}});
  }
  json costs = json::object();
  for (const auto& [service, cost] :
       traffic_.CostsOf(route.name, destination.service)) {
    costs[service] = {{"requests", cost.requests}, {"slot_ms", cost.slot_ms}};
  }
  return {{"service", destination.service},
          {"weight", destination.weight},
          {"costs", costs},
          {"upstreams", upstreams}};
}

}  // namespace almondwind::sidecar
