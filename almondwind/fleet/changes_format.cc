#include "almondwind/fleet/changes_format.h"

#include <msgpack.hpp>
#include <tuple>
#include <vector>

#include "almondwind/base/outcome.h"
#include "almondwind/loop/endpoint.h"

namespace almondwind::fleet {
namespace {

// The fields of an Upstream in wire order.
using Row = std::tuple<std::string, std::string, std::string, std::string, int,
                       bool, int64_t, int64_t, uint64_t, uint64_t>;
using RemovalRow = std::tuple<std::string, uint64_t>;
// The fields of Changes in wire order. All revisions are of the epoch at the
// end, and written as their numbers.
using Wire = std::tuple<uint64_t, uint64_t, std::vector<Row>,
                        std::vector<RemovalRow>, uint64_t>;

}  // namespace

std::string EncodeChanges(const Changes& changes) {
  std::vector<Row> rows;
  rows.reserve(changes.upstreams.size());
  for (const Upstream& u : changes.upstreams) {
    // A doubt is this node's own; the receiver remembers departures itself.
    bool draining = u.draining && !u.doubted;
    rows.emplace_back(u.id, u.service, u.address, u.zone, u.slots, draining,
                      u.cold_left.count(), u.started_at, u.revision.number,
                      u.heartbeats);
  }
  std::vector<RemovalRow> removals;
  removals.reserve(changes.removals.size());
  for (const Removal& r : changes.removals) {
    removals.emplace_back(r.id, r.revision.number);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, Wire(changes.since.number, changes.revision.number,
                             std::move(rows), std::move(removals),
                             changes.revision.epoch));
  return {buffer.data(), buffer.size()};
}

Changes DecodeChanges(const std::string& text) {
  Changes out;
  try {
    msgpack::object_handle handle = msgpack::unpack(text.data(), text.size());
    auto [since, revision, rows, removals, epoch] = handle.get().as<Wire>();
    if (since != 0) out.since = {epoch, since};
    out.revision = {epoch, revision};
    for (const Row& row : rows) {
      Upstream u;
      int64_t cold_ms = 0;
      std::tie(u.id, u.service, u.address, u.zone, u.slots, u.draining, cold_ms,
               u.started_at, u.revision.number, u.heartbeats) = row;
      u.revision.epoch = epoch;
      u.cold_left = base::Millis(cold_ms);
      loop::ParseEndpoint(u.address);  // throws if malformed
      out.upstreams.push_back(std::move(u));
    }
    for (const RemovalRow& row : removals) {
      out.removals.push_back({std::get<0>(row), {epoch, std::get<1>(row)}});
    }
  } catch (const std::exception& e) {
    throw base::Error(
        base::Reason::kMalformed,
        std::string("cannot decode the changes of the fleet: ") + e.what());
  }
  return out;
}

}  // namespace almondwind::fleet
