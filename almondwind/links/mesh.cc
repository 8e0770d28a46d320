#include "almondwind/links/mesh.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <vector>

#include "almondwind/links/connection.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/node/node.h"

namespace almondwind::links {

namespace net = boost::asio;
using boost::system::error_code;
using node::LinkState;
using Lock = std::lock_guard<std::mutex>;

Mesh::Mesh(net::io_context& io, MeshOptions options, const base::Clock& clock)
    : io_(io), options_(std::move(options)), clock_(clock), acceptor_(io) {}

Mesh::~Mesh() = default;

void Mesh::Listen() {
  net::ip::tcp::endpoint endpoint = loop::ParseEndpoint(options_.listen);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void Mesh::Accept() {
  acceptor_.async_accept(
      net::make_strand(io_), [this](error_code ec, net::ip::tcp::socket s) {
        if (ec == net::error::operation_aborted) return;
        if (!ec) {
          s.set_option(net::ip::tcp::no_delay(true), ec);
          std::make_shared<Connection>(*this, std::move(s))->Read();
        }
        Accept();
      });
}

LinkState Mesh::Prepare(const zones::HostEntry& host) {
  Lock lock(mutex_);
  OutboundLink& link = outbound_links_[host.name];
  bool address_changed = link.address != host.link;
  if (link.state != LinkState::kDown && !address_changed) return link.state;
  base::Millis now = clock_.Now();
  if (!address_changed && now < link.next_dial) return LinkState::kDown;
  if (address_changed && link.connection != nullptr) link.connection->Close();
  link.address = host.link;
  link.state = LinkState::kDialing;
  link.next_dial = now + options_.redial_delay;
  link.connection = nullptr;
  std::string name = host.name;
  std::string address = host.link;
  net::post(io_, [this, name, address] { Connect(name, address); });
  return LinkState::kDialing;
}

void Mesh::Connect(const std::string& host, const std::string& address) {
  net::ip::tcp::endpoint endpoint;
  try {
    endpoint = loop::ParseEndpoint(address);
  } catch (const base::Error&) {
    Lock lock(mutex_);
    outbound_links_[host].state = LinkState::kDown;
    return;
  }
  auto connection = std::make_shared<Connection>(
      *this, net::ip::tcp::socket(net::make_strand(io_)));
  connection->host = host;
  Hello hello;
  hello.host = options_.host;
  hello.zone = options_.zone;
  hello.sent_at_ms = clock_.Now().count();
  {
    Lock lock(mutex_);
    outbound_links_[host].connection = connection;
  }
  connection->Dial(endpoint, hello);
}

bool Mesh::Send(const std::string& host, const Message& message) {
  std::shared_ptr<Connection> connection;
  {
    Lock lock(mutex_);
    auto it = outbound_links_.find(host);
    if (it == outbound_links_.end() || it->second.state != LinkState::kUp) {
      return false;
    }
    connection = it->second.connection;
  }
  return connection->Write(Encode(message));
}

void Mesh::Reply(uint64_t session, const Message& message) {
  std::shared_ptr<Connection> connection;
  {
    Lock lock(mutex_);
    auto it = sessions_.find(session);
    if (it == sessions_.end()) return;
    connection = it->second;
  }
  connection->Write(Encode(message));
}

void Mesh::OnFrame(const std::shared_ptr<Connection>& connection,
                   const Message& message) {
  bool is_outbound = !connection->host.empty();
  if (is_outbound) {
    if (const auto* welcome = std::get_if<Welcome>(&message)) {
      return OnWelcome(connection, *welcome);
    }
    return node_->OnGateMessage(connection->host, message);
  }
  if (const auto* hello = std::get_if<Hello>(&message)) {
    return OnHello(connection, *hello);
  }
  // Each frame carries the session that Welcome assigned. A frame of another
  // session was not sent by the peer that opened this connection.
  uint64_t session = 0;
  if (const auto* call = std::get_if<Call>(&message)) session = call->session;
  if (const auto* cancel = std::get_if<Cancel>(&message)) {
    session = cancel->session;
  }
  if (session == 0 || session != connection->session) {
    throw base::Error(base::Reason::kMalformed,
                      "link frame belongs to another session");
  }
  node_->OnRouterMessage(message);
}

void Mesh::OnWelcome(const std::shared_ptr<Connection>& connection,
                     const Welcome& welcome) {
  if (welcome.host != connection->host) {
    throw base::Error(base::Reason::kMalformed,
                      "link was answered by another host");
  }
  {
    Lock lock(mutex_);
    OutboundLink& link = outbound_links_[connection->host];
    if (link.connection != connection) return;
    link.state = LinkState::kUp;
  }
  node_->OnLinkUp(welcome);
}

void Mesh::OnHello(const std::shared_ptr<Connection>& connection,
                   const Hello& hello) {
  if (hello.protocol != kProtocolVersion || connection->session != 0) {
    throw base::Error(base::Reason::kMalformed,
                      "hello repeated, or of another protocol");
  }
  uint64_t session = node_->OpenSession(hello);
  if (session == 0)
    throw base::Error(base::Reason::kTooManyCalls, "too many sessions");
  connection->session = session;
  {
    Lock lock(mutex_);
    sessions_[session] = connection;
  }
  Welcome welcome;
  welcome.host = options_.host;
  welcome.incarnation = node_->incarnation();
  welcome.session = session;
  welcome.leaving = node_->leaving();
  connection->Write(Encode(welcome));
}

void Mesh::OnClosed(const std::shared_ptr<Connection>& connection) {
  if (connection->host.empty()) {
    if (connection->session == 0) return;
    {
      Lock lock(mutex_);
      sessions_.erase(connection->session);
    }
    return node_->CloseSession(connection->session);
  }
  bool current = false;
  {
    Lock lock(mutex_);
    OutboundLink& link = outbound_links_[connection->host];
    current = link.connection == connection;
    if (current) {
      link.state = LinkState::kDown;
      link.connection = nullptr;
      link.next_dial = clock_.Now() + options_.redial_delay;
    }
  }
  if (current) node_->OnLinkDown(connection->host);
}

void Mesh::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  std::vector<std::shared_ptr<Connection>> open;
  {
    Lock lock(mutex_);
    for (auto& [host, link] : outbound_links_) {
      if (link.connection != nullptr) open.push_back(link.connection);
    }
    for (auto& [session, connection] : sessions_) open.push_back(connection);
  }
  for (const auto& connection : open) connection->Close();
}

}  // namespace almondwind::links
