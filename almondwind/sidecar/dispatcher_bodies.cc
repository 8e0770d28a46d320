// The dispatcher's part in bodies that come in parts.

#include <utility>

#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/entry_call.h"

namespace almondwind::sidecar {

using base::Reason;
using peers::BodyEnd;

void Dispatcher::OnFrame(peers::Frame frame) {
  if (auto* answer = std::get_if<peers::Answer>(&frame)) {
    uint64_t leg = answer->id;
    OnAnswer(leg, std::move(*answer));
  } else if (auto* part = std::get_if<peers::BodyPart>(&frame)) {
    OnBodyPart(std::move(*part));
  } else if (auto* credit = std::get_if<peers::Credit>(&frame)) {
    OnCredit(*credit);
  }
}

// Returns null where the call has been given up in the meantime.
Dispatcher::EntryCall* Dispatcher::FindLeg(uint64_t leg) {
  auto it = legs_.find(leg);
  return it == legs_.end() ? nullptr : calls_.at(it->second).get();
}

void Dispatcher::SendToGate(const EntryCall& call, const peers::Frame& frame) {
  peers::Link* link = mesh_->Find(call.machine->entry().link);
  if (link != nullptr && link->serial() == call.leg_link) link->Send(frame);
}

// ---- The request's body.

void Dispatcher::OnCredit(const peers::Credit& credit) {
  EntryCall* call = FindLeg(credit.id);
  if (call == nullptr || !call->request.rest.follows) return;
  call->body_sent = true;
  body_bytes_ -= call->request.body.size();
  call->request.body.clear();
  call->events->OnBodyWanted(call->id, credit.bytes);
}

void Dispatcher::FeedBody(uint64_t id, std::string bytes, bool last) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second->leg == 0) return;
  EntryCall& call = *it->second;
  BodyEnd end = last ? BodyEnd::kLast : BodyEnd::kMore;
  peers::BodyPart part{call.leg, true, static_cast<uint8_t>(end),
                       std::move(bytes)};
  if (call.leg_link == 0) {
    gate_.OnBodyPart({0, call.leg}, part);
  } else {
    SendToGate(call, part);
  }
}

// ---- The answer's body.

void Dispatcher::OpenBody(uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end() || !it->second->answering) return;
  EntryCall& call = *it->second;
  if (!call.streaming) {
    if (streams_ >= options_.streams) {
      waiting_bodies_.push_back(id);
      return;
    }
    call.streaming = true;
    ++streams_;
  }
  GrantAnswer(call, options_.body_window);
}

void Dispatcher::OnBodyTaken(uint64_t id, uint32_t bytes) {
  auto it = calls_.find(id);
  if (it != calls_.end()) GrantAnswer(*it->second, bytes);
}

void Dispatcher::GrantAnswer(EntryCall& call, uint32_t bytes) {
  if (call.leg_link == 0) {
    gate_.OnCredit({0, call.leg}, bytes);
  } else {
    SendToGate(call, peers::Credit{call.leg, false, bytes});
  }
}

void Dispatcher::OnBodyPart(peers::BodyPart part) {
  EntryCall* call = FindLeg(part.id);
  if (call == nullptr || !call->answering) return;
  auto end = static_cast<BodyEnd>(part.end);
  if (end == BodyEnd::kMore) {
    return call->events->OnBody(call->id, std::move(part.bytes), end);
  }
  legs_.erase(call->leg);
  call->leg = 0;
  if (end == BodyEnd::kBroken) {
    return BreakAnswer(*call,
                       std::string(base::ReasonName(Reason::kUpstreamClosed)));
  }
  EntryCallPtr owned = Remove(*call, 200, "answered");
  owned->events->OnBody(owned->id, std::move(part.bytes), end);
}

// The caller has the head of the answer already, so that no other answer can
// be given; its connection ends, which shows that the body is not complete.
void Dispatcher::BreakAnswer(EntryCall& call, const std::string& why) {
  CancelLeg(call);
  EntryCallPtr owned = Remove(call, 0, "broken_off:" + why);
  owned->events->OnBody(owned->id, {}, BodyEnd::kBroken);
}

// Gives the room of a body to an answer that waits for it.
void Dispatcher::EndStream(EntryCall& call) {
  if (!call.streaming) return;
  call.streaming = false;
  --streams_;
  while (!waiting_bodies_.empty() && streams_ < options_.streams) {
    uint64_t next = waiting_bodies_.front();
    waiting_bodies_.pop_front();
    OpenBody(next);
  }
}

}  // namespace almondwind::sidecar
