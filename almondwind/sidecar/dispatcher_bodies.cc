// Streamed request and response bodies in the dispatcher.

#include <utility>

#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/entry_call.h"

namespace almondwind::sidecar {

using base::Reason;
using peers::BodyEnd;

void Dispatcher::OnFrame(peers::Frame frame) {
  if (auto* answer = std::get_if<peers::Answer>(&frame)) {
    uint64_t attempt = answer->id;
    OnAnswer(attempt, std::move(*answer));
  } else if (auto* part = std::get_if<peers::BodyPart>(&frame)) {
    OnBodyPart(std::move(*part));
  } else if (auto* credit = std::get_if<peers::Credit>(&frame)) {
    OnCredit(*credit);
  }
}

// Returns null if the attempt has ended or was cancelled.
Dispatcher::EntryCall* Dispatcher::FindAttempt(uint64_t attempt) {
  auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : calls_.at(it->second).get();
}

void Dispatcher::SendToGate(const EntryCall& call, const peers::Frame& frame) {
  peers::Link* link = mesh_->FindSerial(call.attempt_link);
  if (link != nullptr) link->Send(frame);
}

// ---- Request bodies.

void Dispatcher::OnCredit(const peers::Credit& credit) {
  EntryCall* call = FindAttempt(credit.id);
  if (call == nullptr || !call->request.rest.follows) return;
  call->body_sent = true;
  body_bytes_ -= call->request.body.size();
  call->request.body.clear();
  call->events->OnBodyCredit(call->id, credit.bytes);
}

void Dispatcher::FeedBody(uint64_t id, std::string bytes, bool last) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second->attempt == 0) return;
  EntryCall& call = *it->second;
  BodyEnd end = last ? BodyEnd::kLast : BodyEnd::kMore;
  peers::BodyPart part{call.attempt, true, static_cast<uint8_t>(end),
                       std::move(bytes)};
  if (call.attempt_link == 0) {
    gate_.OnBodyPart({0, call.attempt}, part);
  } else {
    SendToGate(call, part);
  }
}

// ---- Response bodies.

void Dispatcher::StartResponseBody(uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end() || !it->second->response_started) return;
  EntryCall& call = *it->second;
  if (!call.streaming) {
    if (streams_ >= options_.max_streams) {
      waiting_bodies_.push_back(id);
      return;
    }
    call.streaming = true;
    ++streams_;
  }
  GrantResponseCredit(call, options_.body_window);
}

void Dispatcher::OnResponseBytesConsumed(uint64_t id, uint32_t bytes) {
  auto it = calls_.find(id);
  if (it != calls_.end()) GrantResponseCredit(*it->second, bytes);
}

void Dispatcher::GrantResponseCredit(EntryCall& call, uint32_t bytes) {
  if (call.attempt_link == 0) {
    gate_.OnCredit({0, call.attempt}, bytes);
  } else {
    SendToGate(call, peers::Credit{call.attempt, false, bytes});
  }
}

void Dispatcher::OnBodyPart(peers::BodyPart part) {
  EntryCall* call = FindAttempt(part.id);
  if (call == nullptr || !call->response_started) return;
  auto end = static_cast<BodyEnd>(part.end);
  if (end == BodyEnd::kMore) {
    return call->events->OnBody(call->id, std::move(part.bytes), end);
  }
  attempts_.erase(call->attempt);
  call->attempt = 0;
  if (end == BodyEnd::kBroken) {
    return AbortResponse(
        *call, std::string(base::ReasonName(Reason::kUpstreamClosed)));
  }
  EntryCallPtr owned = Remove(*call, 200, "answered");
  owned->events->OnBody(owned->id, std::move(part.bytes), end);
}

// The caller already has the head of the response, so no other response can be
// sent. Closing its connection shows the caller that the body is incomplete.
void Dispatcher::AbortResponse(EntryCall& call, const std::string& why) {
  CancelAttempt(call);
  EntryCallPtr owned = Remove(call, 0, "broken_off:" + why);
  owned->events->OnBody(owned->id, {}, BodyEnd::kBroken);
}

// Releases the call's stream and starts response bodies that wait for one.
void Dispatcher::ReleaseStream(EntryCall& call) {
  if (!call.streaming) return;
  call.streaming = false;
  --streams_;
  while (!waiting_bodies_.empty() && streams_ < options_.max_streams) {
    uint64_t next = waiting_bodies_.front();
    waiting_bodies_.pop_front();
    StartResponseBody(next);
  }
}

}  // namespace almondwind::sidecar
