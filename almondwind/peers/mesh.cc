#include "almondwind/peers/mesh.h"

#include <algorithm>
#include <utility>

#include "almondwind/base/outcome.h"
#include "almondwind/loop/endpoint.h"

namespace almondwind::peers {

namespace net = boost::asio;
using base::Millis;

namespace {

constexpr size_t kLengthBytes = 4;

void AppendLength(size_t length, std::string& out) {
  for (int shift : {24, 16, 8, 0}) {
    out.push_back(static_cast<char>(length >> shift));
  }
}

uint32_t ReadLength(std::string_view bytes, size_t at) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(bytes[at + i]);
  }
  return length;
}

}  // namespace

void Link::Send(const Frame& frame) {
  if (stream_ == nullptr || !stream_->open()) return;
  std::string head = Encode(frame, mesh_.options_.header_names);
  if (compressor_ != nullptr) head = compressor_->Compress(head);
  std::string_view body = BodyOf(frame);
  std::string bytes;
  bytes.reserve(2 * kLengthBytes + head.size() + body.size());
  AppendLength(kLengthBytes + head.size() + body.size(), bytes);
  AppendLength(head.size(), bytes);
  stream_->Write(bytes.append(head).append(body));
}

void Link::OnConnected() { Send(mesh_.MakeHello()); }

void Link::OnData(std::string_view data) {
  LinkPtr self(this);
  last_received_ = mesh_.timers_.Now();
  if (silent_) mesh_.Resume(*this);
  receive_buffer_.append(data);
  try {
    ParseFrames();
  } catch (const base::Error&) {
    // Malformed input is handled like a broken connection; the next link to
    // the peer starts with new state.
    stream_->Close();
    OnEnd(loop::StreamEnd::kReset);
  }
}

void Link::ParseFrames() {
  size_t at = 0;
  while (stream_->open() && receive_buffer_.size() - at >= kLengthBytes) {
    uint32_t length = ReadLength(receive_buffer_, at);
    if (length > mesh_.options_.max_frame_bytes) {
      throw base::Error(base::Reason::kMalformed, "link frame is too long");
    }
    if (receive_buffer_.size() - at - kLengthBytes < length) break;
    Frame frame = ParseFrame(
        std::string_view(receive_buffer_).substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
    if (auto* hello = std::get_if<Hello>(&frame)) {
      OnHello(std::move(*hello));
    } else if (up_) {
      mesh_.events_.OnFrame(*this, std::move(frame));
    }
  }
  receive_buffer_.erase(0, at);
}

Frame Link::ParseFrame(std::string_view bytes) {
  size_t head_length =
      bytes.size() < kLengthBytes ? bytes.size() : ReadLength(bytes, 0);
  if (head_length + kLengthBytes > bytes.size()) {
    throw base::Error(base::Reason::kMalformed,
                      "link frame is shorter than its head");
  }
  std::string_view head = bytes.substr(kLengthBytes, head_length);
  std::string_view body = bytes.substr(kLengthBytes + head_length);
  std::string unpacked;
  if (decompressor_ != nullptr) {
    unpacked = decompressor_->Decompress(head);
    head = unpacked;
  }
  return Decode(head, body, mesh_.options_.header_names);
}

void Link::OnHello(Hello hello) {
  if (hello.protocol != kProtocolVersion || up_) {
    throw base::Error(base::Reason::kMalformed,
                      "hello repeated, or of another protocol");
  }
  hello_ = std::move(hello);
  if (hello_.zone != mesh_.options_.zone) {
    compressor_ = std::make_unique<Compressor>();
    decompressor_ =
        std::make_unique<Decompressor>(mesh_.options_.max_frame_bytes);
  }
  up_ = true;
  mesh_.OnUp(*this);
}

void Link::OnEnd(loop::StreamEnd) { mesh_.CloseLink(*this); }

Mesh::Mesh(net::io_context& io, loop::Timers& timers, MeshOptions options,
           MeshEvents& events)
    : io_(io),
      timers_(timers),
      options_(std::move(options)),
      events_(events),
      heartbeat_timer_(timers),
      dial_timer_(timers) {}

Mesh::~Mesh() { Close(); }

loop::StreamOptions Mesh::LinkStreamOptions() const {
  loop::StreamOptions options;
  options.dial_timeout = options_.dial_timeout;
  options.tcp_user_timeout = options_.abandon_timeout;
  return options;
}

Hello Mesh::MakeHello() const {
  return {kProtocolVersion, options_.address, options_.zone,
          options_.incarnation};
}

void Mesh::Listen() {
  acceptor_ = std::make_unique<loop::Acceptor>(
      io_, timers_,
      options_.listen.empty() ? options_.address : options_.listen,
      [this](net::ip::tcp::socket socket) { OnAccepted(std::move(socket)); });
  last_heartbeat_ = timers_.Now();
  heartbeat_timer_.Start(options_.heartbeat_interval,
                         [this] { OnHeartbeat(); });
}

void Mesh::OnAccepted(net::ip::tcp::socket socket) {
  if (all_links_.size() >= options_.max_links) return;  // closes `socket`
  LinkPtr link(new Link(*this, next_serial_++));
  link->last_received_ = timers_.Now();
  link->stream_ = loop::Stream::Adopt(timers_, std::move(socket),
                                      LinkStreamOptions(), *link);
  all_links_.insert(link);
  link->OnConnected();
}

void Mesh::SetTargets(const std::vector<std::string>& addresses) {
  if (closed_) return;
  std::map<std::string, Target> targets;
  for (const std::string& address : addresses) {
    if (address == options_.address) continue;
    auto it = targets_.find(address);
    if (it != targets_.end()) {
      targets[address] = it->second;
      continue;
    }
    bool waits = options_.address > address;
    targets[address].next_dial =
        timers_.Now() + (waits ? options_.passive_dial_delay : Millis(0));
  }
  targets_ = std::move(targets);
  DialMissingTargets();
}

void Mesh::DialMissingTargets() {
  Millis now = timers_.Now();
  Millis next(-1);
  for (auto& [address, target] : targets_) {
    if (target.pending != nullptr || up_by_address_.count(address) != 0) {
      continue;
    }
    if (target.next_dial > now) {
      Millis wait = target.next_dial - now;
      next = next < Millis(0) ? wait : std::min(next, wait);
      continue;
    }
    LinkPtr link(new Link(*this, next_serial_++));
    link->dialed_address_ = address;
    link->last_received_ = now;
    target.pending = link;
    all_links_.insert(link);
    link->stream_ = loop::Stream::Dial(
        io_, timers_, loop::ParseEndpoint(address), LinkStreamOptions(), *link);
  }
  if (next >= Millis(0)) {
    dial_timer_.Start(next, [this] { DialMissingTargets(); });
  }
}

void Mesh::OnUp(Link& link) {
  auto target = targets_.find(link.dialed_address_);
  if (target != targets_.end()) target->second.pending = nullptr;
  // Links of an earlier process of the peer are dead.
  std::vector<LinkPtr> outdated;
  for (const auto& [serial, other] : by_serial_) {
    if (other->peer() == link.peer() &&
        other->incarnation() != link.incarnation()) {
      outdated.emplace_back(other);
    }
  }
  for (const LinkPtr& other : outdated) CloseLink(*other);
  up_by_address_[link.peer()].push_back(&link);
  by_serial_[link.serial()] = &link;
  events_.OnLinkUp(link);
  link.Send(events_.Report(link.zone()));
}

void Mesh::CloseLink(Link& link) {
  LinkPtr self(&link);
  if (all_links_.erase(self) == 0) return;
  link.stream_->Close();
  auto dialed = targets_.find(link.dialed_address_);
  if (dialed != targets_.end() && dialed->second.pending == self) {
    dialed->second.pending = nullptr;
  }
  std::string lost = link.up_ ? link.peer() : link.dialed_address_;
  auto target = targets_.find(lost);
  if (target != targets_.end()) {
    target->second.next_dial = timers_.Now() + options_.redial_delay;
    dial_timer_.Start(options_.redial_delay, [this] { DialMissingTargets(); });
  }
  if (!link.up_) return;
  link.up_ = false;
  by_serial_.erase(link.serial());
  ForgetUp(link);
  events_.OnLinkDown(link);
}

void Mesh::ForgetUp(Link& link) {
  auto it = up_by_address_.find(link.peer());
  if (it == up_by_address_.end()) return;
  std::vector<Link*>& list = it->second;
  list.erase(std::remove(list.begin(), list.end(), &link), list.end());
  if (list.empty()) up_by_address_.erase(it);
}

Link* Mesh::FindSerial(uint64_t serial) const {
  auto it = by_serial_.find(serial);
  return it == by_serial_.end() ? nullptr : it->second;
}

Link* Mesh::Find(const std::string& address) const {
  auto it = up_by_address_.find(address);
  return it == up_by_address_.end() ? nullptr : it->second.back();
}

std::vector<Link*> Mesh::up_links() const {
  std::vector<Link*> out;
  for (const auto& [address, list] : up_by_address_) {
    out.insert(out.end(), list.begin(), list.end());
  }
  return out;
}

void Mesh::OnHeartbeat() {
  CheckSilence();
  BroadcastState();
  DialMissingTargets();
  heartbeat_timer_.Start(options_.heartbeat_interval,
                         [this] { OnHeartbeat(); });
}

void Mesh::CheckSilence() {
  Millis now = timers_.Now();
  // If this process itself was paused, frames of its peers may still be unread.
  bool paused = now - last_heartbeat_ > options_.silence_timeout;
  last_heartbeat_ = now;
  std::vector<LinkPtr> silent;
  for (const LinkPtr& link : all_links_) {
    if (paused) link->last_received_ = now;
    if (now - link->last_received_ > options_.silence_timeout) {
      silent.push_back(link);
    }
  }
  for (const LinkPtr& link : silent) {
    if (!link->up_ || now - link->last_received_ > options_.abandon_timeout) {
      CloseLink(*link);
    } else if (!link->silent_) {
      Suspend(*link);
    }
  }
}

void Mesh::Suspend(Link& link) {
  link.silent_ = true;
  ForgetUp(link);
  auto target = targets_.find(link.peer());
  if (target != targets_.end()) target->second.next_dial = timers_.Now();
  events_.OnLinkSilent(link);
}

// A newer link to the peer stays the preferred one.
void Mesh::Resume(Link& link) {
  link.silent_ = false;
  std::vector<Link*>& list = up_by_address_[link.peer()];
  list.insert(list.begin(), &link);
  events_.OnLinkUp(link);
}

void Mesh::BroadcastState() {
  for (Link* link : up_links()) link->Send(events_.Report(link->zone()));
}

void Mesh::BroadcastState(const std::string& zone) {
  for (Link* link : up_links()) {
    if (link->zone() == zone) link->Send(events_.Report(zone));
  }
}

void Mesh::Close() {
  closed_ = true;
  if (acceptor_ != nullptr) acceptor_->Close();
  heartbeat_timer_.Stop();
  dial_timer_.Stop();
  for (const LinkPtr& link : all_links_) link->stream_->CloseAfterWrites();
  all_links_.clear();
  up_by_address_.clear();
  by_serial_.clear();
  targets_.clear();
}

}  // namespace almondwind::peers
