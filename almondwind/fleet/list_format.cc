#include "almondwind/fleet/list_format.h"

#include <msgpack.hpp>
#include <tuple>

#include "almondwind/base/outcome.h"

namespace almondwind::fleet {
namespace {

// The fields of an Upstream in wire order.
using Row = std::tuple<std::string, std::string, std::string, std::string, int,
                       bool, int64_t, int64_t, uint64_t>;

}  // namespace

std::string EncodeList(const std::vector<Upstream>& upstreams) {
  std::vector<Row> rows;
  rows.reserve(upstreams.size());
  for (const Upstream& u : upstreams) {
    rows.emplace_back(u.id, u.service, u.address, u.zone, u.slots, u.draining,
                      u.cold_left.count(), u.started_at, u.revision);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, rows);
  return {buffer.data(), buffer.size()};
}

std::vector<Upstream> DecodeList(const std::string& text) {
  std::vector<Upstream> out;
  try {
    msgpack::object_handle handle = msgpack::unpack(text.data(), text.size());
    for (const Row& row : handle.get().as<std::vector<Row>>()) {
      Upstream u;
      int64_t cold_ms = 0;
      std::tie(u.id, u.service, u.address, u.zone, u.slots, u.draining, cold_ms,
               u.started_at, u.revision) = row;
      u.cold_left = base::Millis(cold_ms);
      out.push_back(std::move(u));
    }
  } catch (const std::exception& e) {
    throw base::Error(
        base::Reason::kMalformed,
        std::string("cannot decode the list of upstreams: ") + e.what());
  }
  return out;
}

}  // namespace almondwind::fleet
