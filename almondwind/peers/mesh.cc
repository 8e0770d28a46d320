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

void Link::OnConnected() { Send(mesh_.OwnHello()); }

void Link::OnData(std::string_view data) {
  LinkPtr self(this);
  heard_ = mesh_.timers_.Now();
  in_.append(data);
  try {
    TakeFrames();
  } catch (const base::Error&) {
    // A peer that sends what cannot be read is treated like a broken link; its
    // next link begins afresh.
    stream_->Close();
    OnEnd(loop::StreamEnd::kReset);
  }
}

void Link::TakeFrames() {
  size_t at = 0;
  while (stream_->open() && in_.size() - at >= kLengthBytes) {
    uint32_t length = ReadLength(in_, at);
    if (length > mesh_.options_.frame_bytes) {
      throw base::Error(base::Reason::kMalformed, "link frame is too long");
    }
    if (in_.size() - at - kLengthBytes < length) break;
    Frame frame =
        TakeFrame(std::string_view(in_).substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
    if (auto* hello = std::get_if<Hello>(&frame)) {
      TakeHello(std::move(*hello));
    } else if (up_) {
      mesh_.events_.OnFrame(*this, std::move(frame));
    }
  }
  in_.erase(0, at);
}

Frame Link::TakeFrame(std::string_view bytes) {
  size_t head_length =
      bytes.size() < kLengthBytes ? bytes.size() : ReadLength(bytes, 0);
  if (head_length + kLengthBytes > bytes.size()) {
    throw base::Error(base::Reason::kMalformed, "link frame has no whole head");
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

void Link::TakeHello(Hello hello) {
  if (hello.protocol != kProtocolVersion || up_) {
    throw base::Error(base::Reason::kMalformed, "unexpected hello");
  }
  hello_ = std::move(hello);
  if (hello_.zone != mesh_.options_.zone) {
    compressor_ = std::make_unique<Compressor>();
    decompressor_ = std::make_unique<Decompressor>(mesh_.options_.frame_bytes);
  }
  up_ = true;
  mesh_.OnUp(*this);
}

void Link::OnEnd(loop::StreamEnd) { mesh_.Drop(*this); }

Mesh::Mesh(net::io_context& io, loop::Timers& timers, MeshOptions options,
           MeshEvents& events)
    : io_(io),
      timers_(timers),
      options_(std::move(options)),
      events_(events),
      beat_(timers),
      dial_(timers) {}

Mesh::~Mesh() { Close(); }

loop::StreamOptions Mesh::LinkStreamOptions() const {
  loop::StreamOptions options;
  options.dial_timeout = options_.dial_timeout;
  options.tcp_user_timeout = options_.silence;
  return options;
}

Hello Mesh::OwnHello() const {
  return {kProtocolVersion, options_.address, options_.zone,
          options_.incarnation};
}

void Mesh::Listen() {
  acceptor_ = std::make_unique<loop::Acceptor>(
      io_, timers_,
      options_.listen.empty() ? options_.address : options_.listen,
      [this](net::ip::tcp::socket socket) { OnAccepted(std::move(socket)); });
  last_beat_ = timers_.Now();
  beat_.Start(options_.heartbeat, [this] { Beat(); });
}

void Mesh::OnAccepted(net::ip::tcp::socket socket) {
  if (all_.size() >= options_.links) return;  // closes it
  LinkPtr link(new Link(*this, next_serial_++));
  link->heard_ = timers_.Now();
  link->stream_ = loop::Stream::Adopt(timers_, std::move(socket),
                                      LinkStreamOptions(), *link);
  all_.insert(link);
  link->OnConnected();
}

void Mesh::SetTargets(const std::vector<std::string>& addresses) {
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
        timers_.Now() + (waits ? options_.dial_courtesy : Millis(0));
  }
  targets_ = std::move(targets);
  DialMissing();
}

void Mesh::DialMissing() {
  Millis now = timers_.Now();
  Millis next(-1);
  for (auto& [address, target] : targets_) {
    if (target.dialling != nullptr || up_.count(address) != 0) continue;
    if (target.next_dial > now) {
      Millis wait = target.next_dial - now;
      next = next < Millis(0) ? wait : std::min(next, wait);
      continue;
    }
    LinkPtr link(new Link(*this, next_serial_++));
    link->dialled_ = address;
    link->heard_ = now;
    target.dialling = link;
    all_.insert(link);
    link->stream_ = loop::Stream::Dial(
        io_, timers_, loop::ParseEndpoint(address), LinkStreamOptions(), *link);
  }
  if (next >= Millis(0)) dial_.Start(next, [this] { DialMissing(); });
}

void Mesh::OnUp(Link& link) {
  auto target = targets_.find(link.dialled_);
  if (target != targets_.end()) target->second.dialling = nullptr;
  up_[link.peer()].push_back(&link);
  events_.OnLinkUp(link);
  link.Send(events_.Report(link.zone()));
}

void Mesh::Drop(Link& link) {
  LinkPtr self(&link);
  if (all_.erase(self) == 0) return;
  link.stream_->Close();
  auto dialled = targets_.find(link.dialled_);
  if (dialled != targets_.end() && dialled->second.dialling == self) {
    dialled->second.dialling = nullptr;
  }
  std::string lost = link.up_ ? link.peer() : link.dialled_;
  auto target = targets_.find(lost);
  if (target != targets_.end()) {
    target->second.next_dial = timers_.Now() + options_.redial;
    dial_.Start(options_.redial, [this] { DialMissing(); });
  }
  if (!link.up_) return;
  link.up_ = false;
  std::vector<Link*>& list = up_[link.peer()];
  list.erase(std::remove(list.begin(), list.end(), &link), list.end());
  if (list.empty()) up_.erase(link.peer());
  events_.OnLinkDown(link);
}

Link* Mesh::Find(const std::string& address) const {
  auto it = up_.find(address);
  return it == up_.end() ? nullptr : it->second.back();
}

std::vector<Link*> Mesh::links() const {
  std::vector<Link*> out;
  for (const auto& [address, list] : up_) {
    out.insert(out.end(), list.begin(), list.end());
  }
  return out;
}

void Mesh::Beat() {
  DropSilent();
  Announce();
  DialMissing();
  beat_.Start(options_.heartbeat, [this] { Beat(); });
}

void Mesh::DropSilent() {
  Millis now = timers_.Now();
  // After a pause of the process itself its peers' frames wait unread.
  bool paused = now - last_beat_ > options_.silence;
  last_beat_ = now;
  std::vector<LinkPtr> silent;
  for (const LinkPtr& link : all_) {
    if (paused) link->heard_ = now;
    if (now - link->heard_ > options_.silence) silent.push_back(link);
  }
  for (const LinkPtr& link : silent) Drop(*link);
}

void Mesh::Announce() {
  for (Link* link : links()) link->Send(events_.Report(link->zone()));
}

void Mesh::Close() {
  if (acceptor_ != nullptr) acceptor_->Close();
  beat_.Stop();
  dial_.Stop();
  for (const LinkPtr& link : all_) link->stream_->CloseAfterWrites();
  all_.clear();
  up_.clear();
  targets_.clear();
}

}  // namespace almondwind::peers
