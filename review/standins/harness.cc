#include "review/standins/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int kPeerPort = 7620;
constexpr int kMetricsPort = 9464;
constexpr int kInboundPort = 8300;
// `stable-ms` of the deployment.
constexpr int64_t kStableMs = 3000;

std::string ToLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t value = 0;
    for (size_t j = 0; j < 3; ++j) {
      unsigned char byte =
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      value = (value << 8) | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      bool padding = i + j > bytes.size();
      out.push_back(padding ? '=' : kDigits[(value >> (18 - 6 * j)) & 63]);
    }
  }
  return out;
}

// Returns the value of `name` in the query of `target`, not decoded.
std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find("?" + name + "=");
  if (at == std::string::npos) at = target.find("&" + name + "=");
  if (at == std::string::npos) return "";
  std::string value = target.substr(at + name.size() + 2);
  value = value.substr(0, value.find('&'));
  size_t escaped = value.find("%2F");
  if (escaped != std::string::npos) value.replace(escaped, 3, "/");
  return value;
}

std::string JsonAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening socket, or -1 if the port is taken.
int Listen(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool PortsFree(const std::string& ip) {
  for (int port : {kStorePort, kAppPort, kReadyPort, kOutboundPort,
                   kInboundPort, kPeerPort, kMetricsPort}) {
    int fd = Listen(ip, port);
    if (fd < 0) return false;
    close(fd);
  }
  return true;
}

// Returns "127.A.B." such that the ports of the first machines are free.
std::string ChooseNet() {
  std::random_device random;
  for (int tries = 0; tries < 100; ++tries) {
    std::string net = "127." + std::to_string(1 + random() % 250) + "." +
                      std::to_string(random() % 250) + ".";
    if (PortsFree(net + "1") && PortsFree(net + "10")) return net;
  }
  throw std::runtime_error("no free loopback addresses");
}

// Returns the words of the sidecar's command in the deploy file.
std::vector<std::string> SidecarCommand() {
  std::ifstream in("deploy/system.toml");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("run", 0) != 0) continue;
    size_t begin = line.find('"');
    std::stringstream text(line.substr(begin + 1, line.rfind('"') - begin - 1));
    std::vector<std::string> words;
    for (std::string word; text >> word;) words.push_back(word);
    return words;
  }
  throw std::runtime_error("deploy/system.toml names no command");
}

// Reads the head of a message from the front of `buffer`.
bool ParseHead(std::string& buffer, Message& message) {
  size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::stringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  return true;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Record.

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), start_(NowMs()) {
  if (file_ == nullptr) throw std::runtime_error(path + " cannot be written");
}

Record::~Record() { std::fclose(file_); }

void Record::Line(const std::string& text) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n",
               static_cast<double>(NowMs() - start_) / 1000, text.c_str());
  std::fflush(file_);
}

// ---- Messages and sockets.

std::string Message::Header(std::string_view name) const {
  std::string wanted = ToLower(name);
  for (const auto& [key, value] : headers) {
    if (ToLower(key) == wanted) return value;
  }
  return "";
}

int Message::Status() const {
  size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

std::string Message::Target() const {
  size_t begin = start_line.find(' ');
  if (begin == std::string::npos) return "";
  size_t end = start_line.find(' ', begin + 1);
  return start_line.substr(begin + 1, end - begin - 1);
}

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  buffer_ = std::move(other.buffer_);
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

Socket Socket::Connect(const std::string& ip, int port,
                       const SocketOptions& options) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof options.receive_buffer);
  }
  if (options.segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment,
               sizeof options.segment);
  }
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return Socket(-1);
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return Socket(fd);
}

bool Socket::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

ReadEnd Socket::Receive(int64_t timeout_ms, size_t most) {
  pollfd ready{fd_, POLLIN, 0};
  int count =
      poll(&ready, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms)));
  if (count == 0) return ReadEnd::kTimeout;
  std::string part(most, '\0');
  ssize_t got = recv(fd_, part.data(), part.size(), 0);
  if (got == 0) return ReadEnd::kClosed;
  if (got < 0) return ReadEnd::kReset;
  buffer_.append(part, 0, static_cast<size_t>(got));
  return ReadEnd::kMessage;
}

ReadEnd Socket::ReadMessage(Message& message, int64_t timeout_ms) {
  message = Message();
  int64_t end = NowMs() + timeout_ms;
  while (!ParseHead(buffer_, message)) {
    ReadEnd state = Receive(end - NowMs());
    if (state != ReadEnd::kMessage) return state;
  }
  bool chunked = ToLower(message.Header("Transfer-Encoding")) == "chunked";
  size_t left =
      std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
  for (;;) {
    if (chunked) {
      size_t line = buffer_.find("\r\n");
      if (line != std::string::npos) {
        left = std::strtoull(buffer_.c_str(), nullptr, 16);
        if (buffer_.size() >= line + 2 + left + 2) {
          message.body.append(buffer_, line + 2, left);
          buffer_.erase(0, line + 2 + left + 2);
          if (left == 0) break;
          continue;
        }
      }
    } else {
      size_t part = std::min(left, buffer_.size());
      message.body.append(buffer_, 0, part);
      buffer_.erase(0, part);
      left -= part;
      if (left == 0) break;
    }
    ReadEnd state = Receive(end - NowMs());
    if (state != ReadEnd::kMessage) return state;
  }
  message.complete = true;
  return ReadEnd::kMessage;
}

bool Socket::PeerClosedWithin(int64_t timeout_ms) const {
  pollfd peer{fd_, POLLRDHUP, 0};
  return poll(&peer, 1, static_cast<int>(timeout_ms)) > 0;
}

void ListenAndServe(const std::string& ip, int port,
                    std::function<void(Socket)> serve) {
  int listener = Listen(ip, port);
  if (listener < 0) {
    throw std::runtime_error(ip + ":" + std::to_string(port) + " is taken");
  }
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, serve] { serve(Socket(fd)); }).detach();
    }
  }).detach();
}

// ---- Store.

Store::Store(const std::string& ip, int port) {
  ListenAndServe(ip, port, [this](Socket socket) { Serve(std::move(socket)); });
}

void Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(mutex_);
  Event event;
  event.revision = ++revision_;
  event.key = key;
  event.json = R"({"key":")" + key + R"(","value":")" + Base64(value) +
               R"(","revision":)" + std::to_string(revision_) +
               R"(,"created":)" + std::to_string(revision_) + R"(,"lease":0})";
  items_[key] = event;
  history_.push_back(event);
  changed_.notify_all();
}

void Store::Serve(Socket socket) {
  Message request;
  while (socket.ReadMessage(request, 60'000) == ReadEnd::kMessage) {
    std::string target = request.Target();
    bool watch = target.rfind("/-/kv-watch", 0) == 0;
    if (!socket.Send(JsonAnswer(200, watch ? Watch(target) : Range(target)))) {
      return;
    }
  }
}

std::string Store::Range(const std::string& target) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string prefix = QueryValue(target, "prefix");
  std::string after = QueryValue(target, "after");
  std::string items;
  for (const auto& [key, event] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    items += (items.empty() ? "" : ",") + event.json;
  }
  return "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":" +
         std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& target) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::string prefix = QueryValue(target, "prefix");
  uint64_t after =
      std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
  int64_t wait = std::atoll(QueryValue(target, "wait-ms").c_str());
  changed_.wait_for(lock, std::chrono::milliseconds(wait),
                    [&] { return revision_ > after; });
  std::string events;
  for (const Event& event : history_) {
    if (event.revision <= after || event.key.rfind(prefix, 0) != 0) continue;
    events += (events.empty() ? "" : ",") + event.json;
  }
  return "{\"events\":[" + events +
         "],\"store-revision\":" + std::to_string(revision_) + "}";
}

// ---- Server.

Server::Server(std::string ip, int port, std::string id, std::string service,
               int slots, Behaviour behaviour)
    : ip_(std::move(ip)),
      port_(port),
      id_(std::move(id)),
      service_(std::move(service)),
      slots_(slots),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      behaviour_(std::move(behaviour)) {
  ListenAndServe(ip_, port_,
                 [this](Socket socket) { Serve(std::move(socket)); });
}

std::string Server::Entry(const std::string& zone) {
  return R"({"address":")" + ip_ + ":" + std::to_string(kAppPort) +
         R"(","info":{"service":")" + service_ +
         R"(","version":"v1","zone":")" + zone + R"(","slots":)" +
         std::to_string(slots_) + R"(},"status":{"state":"ready","sequence":)" +
         std::to_string(++sequence_) + R"(,"cold-left-ms":0},"born":)" +
         std::to_string(born_) + "}";
}

std::vector<Run> Server::runs() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

int Server::CountBegan(const std::set<std::string>& ids) const {
  std::vector<Run> all = runs();
  return static_cast<int>(
      std::count_if(all.begin(), all.end(),
                    [&ids](const Run& run) { return ids.count(run.id) != 0; }));
}

void Server::Serve(Socket socket) {
  Message request;
  while (socket.ReadMessage(request, 30'000) == ReadEnd::kMessage) {
    if (!Handle(socket, request)) return;
  }
}

bool Server::SendPaced(Socket& socket, std::string_view body, int64_t ms) {
  constexpr int64_t kStepMs = 50;
  size_t steps = static_cast<size_t>(std::max<int64_t>(1, ms / kStepMs));
  size_t part = body.size() / steps + 1;
  while (!body.empty()) {
    if (!socket.Send(body.substr(0, part))) return false;
    body.remove_prefix(std::min(part, body.size()));
    if (!body.empty()) SleepMs(kStepMs);
  }
  return true;
}

bool Server::Handle(Socket& socket, const Message& request) {
  if (request.Target() == "/health") {
    return socket.Send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ +
                       "\r\nContent-Length: 0\r\n\r\n");
  }
  std::string id = request.Header("X-Attempt-Id");
  std::string echo = "X-Attempt-Id: " + id + "\r\n";
  if (request.Header("X-Expect-Instance") != id_) {
    return socket.Send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                       id_ + "\r\n" + echo + "Content-Length: 0\r\n\r\n");
  }
  size_t index = 0;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    index = runs_.size();
    runs_.push_back({id, request.Target(), NowMs(), 0, false});
  }
  Work work = behaviour_(request);
  int64_t deadline = std::atoll(request.Header("X-Deadline-Ms").c_str());
  bool late = deadline > 0 && work.ms > deadline;
  bool closed = socket.PeerClosedWithin(late ? deadline : work.ms);
  bool answered = false;
  if (!closed) {
    std::string body(late ? 0 : work.body_bytes, 'x');
    answered = socket.Send(std::string("HTTP/1.1 ") +
                           (late ? "504 Deadline" : "200 OK") + "\r\n" + echo +
                           "X-Response-Seal: " + id_ + "." + id +
                           "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n") &&
               SendPaced(socket, body, work.body_ms);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  runs_[index].ended = NowMs();
  runs_[index].answered = answered;
  return answered;
}

// ---- Machine.

Machine::Machine(int number, std::string ip, const std::string& store_address,
                 std::string folder, const MachineOptions& options)
    : ip_(std::move(ip)),
      folder_(std::move(folder)),
      name_("sidecar-" + std::to_string(number)),
      zone_(options.zone),
      server_(std::make_unique<Server>(
          ip_, options.app_port == 0 ? kAppPort : options.app_port,
          "i-" + std::to_string(4711 + number), options.service, options.slots,
          options.behaviour)) {
  auto at = [this](int port) {
    return "\"" + ip_ + ":" + std::to_string(port) + "\"\n";
  };
  std::ofstream(folder_ + "/" + name_ + ".toml")
      << "node = \"" << name_ << "\"\nrole = \"sidecar\"\n"
      << "machine-class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \"" << ip_
      << "\"\nzone = \"" << zone_ << "\"\nregion = \"r0\"\n"
      << "port-range = [7620,7635]\nseeds = []\nbootstrap = true\n"
      << "discovery = \"platform\"\nentry = \"local\"\nheartbeat-ms = 1500\n"
      << "bounds = [\"stable-ms=3000\",\"drain-ms=2000\",\"grace-s=6\","
      << "\"config-apply-ms=2000\",\"retry-budget-ratio=0.2\","
      << "\"retry-window-s=10\",\"retry-budget-slack=49\","
      << "\"recovery-s=15\"]\napp-addr = " << at(kAppPort) << "service = \""
      << options.service << "\"\n[zones]\nz0 = \"r0\"\nz1 = \"r0\"\n[listen]\n"
      << "inbound = " << at(kInboundPort) << "outbound = " << at(kOutboundPort)
      << "ready = " << at(kReadyPort)
      << "[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = 260\n"
      << "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
      << "[platform]\naddress = \"" << store_address
      << "\"\nform = \"read\"\nreads-per-s = 2000\nhistory-s = 20\n"
      << "max-value-bytes = 1048576\n";
}

void Machine::Start() {
  std::vector<std::string> words = SidecarCommand();
  std::string settings =
      "ALMONDWIND_NODE_FILE=" + folder_ + "/" + name_ + ".toml";
  std::string log_path = log();
  std::vector<char*> args;
  args.reserve(words.size() + 1);
  for (std::string& word : words) args.push_back(word.data());
  args.push_back(nullptr);
  std::array<char*, 2> environment = {settings.data(), nullptr};
  started_ = NowMs();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("fork failed");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int out = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(args[0], args.data(), environment.data());
  _exit(127);
}

void Machine::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Machine::Running() {
  int status = 0;
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  end_ = WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status)) + " (" +
                   strsignal(WTERMSIG(status)) + ")"
             : "exit code " + std::to_string(WEXITSTATUS(status));
  pid_ = 0;
  return false;
}

int64_t Machine::ResidentKb() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; in >> word;) {
    int64_t kb = 0;
    if (word == "VmRSS:" && in >> kb) return kb;
  }
  return 0;
}

bool Machine::Ready() const {
  Socket socket = Socket::Connect(ip_, kReadyPort);
  if (!socket.open()) return false;
  Message answer;
  socket.Send("GET /-/ready HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n");
  return socket.ReadMessage(answer, 500) == ReadEnd::kMessage &&
         answer.Status() == 200;
}

// ---- World.

World::World(const std::vector<MachineOptions>& machines,
             const std::vector<Route>& routes)
    : net_(ChooseNet()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = pattern;
  store_ = std::make_unique<Store>(net_ + "1", kStorePort);
  std::string store_address = net_ + "1:" + std::to_string(kStorePort);
  for (size_t i = 0; i < machines.size(); ++i) {
    int number = static_cast<int>(i);
    machines_.push_back(
        std::make_unique<Machine>(number, net_ + std::to_string(10 + number),
                                  store_address, folder_, machines[i]));
    Server& server = machines_.back()->server();
    store_->Put("servers/" + server.id(), server.Entry(machines[i].zone));
    std::string entry = "\"" + machines[i].service +
                        R"(":{"health-path":"/health","max-connections":580})";
    if (services_.find(entry) != std::string::npos) continue;
    services_ += (services_.empty() ? "" : ",") + entry;
  }
  PublishRoutes(routes);
}

void World::PublishRoutes(const std::vector<Route>& routes,
                          int idle_timeout_ms) {
  std::string table;
  for (const Route& route : routes) {
    table += (table.empty() ? "\"" : ",\"") + route.name + R"(":{"host":")" +
             kHost + R"(","prefix":")" + route.prefix + R"(","kind":")" +
             route.kind + R"(","service":")" + route.service +
             R"(","timeout-ms":)" + std::to_string(route.timeout_ms) +
             R"(,"target-latency-ms":)" +
             std::to_string(route.target_latency_ms) + R"(,"priority":)" +
             std::to_string(route.priority) + R"(,"max-attempts":)" +
             std::to_string(route.max_attempts) + "}";
  }
  store_->Put("op/config",
              "{\"version\":" + std::to_string(++version_) + ",\"routes\":{" +
                  table + "},\"services\":{" + services_ +
                  R"(},"limits":{"max-header-bytes":16384,)"
                  R"("max-body-bytes":67108864,"header-timeout-ms":3000,)"
                  R"("idle-timeout-ms":)" +
                  std::to_string(idle_timeout_ms) + "}}");
}

World::~World() { Finish(); }

bool World::Start() {
  for (auto& machine : machines_) machine->Start();
  int64_t end = NowMs() + 15'000;
  while (NowMs() < end) {
    bool ready = std::all_of(machines_.begin(), machines_.end(),
                             [](const auto& m) { return m->Ready(); });
    if (ready) return true;
    SleepMs(100);
  }
  return false;
}

void World::WaitUntilInTouch() const {
  for (const auto& machine : machines_) {
    SleepMs(machine->started() + kStableMs + 1000 - NowMs());
  }
}

void World::Finish() {
  for (auto& machine : machines_) {
    machine->Signal(SIGCONT);
    machine->Signal(SIGKILL);
    while (machine->Running()) SleepMs(5);
  }
  std::error_code ec;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_, ec);
  }
}

std::string ClientRequest(const std::string& method, const std::string& target,
                          const std::string& id, int64_t deadline_ms,
                          const std::string& body) {
  std::string length =
      method == "GET"
          ? ""
          : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + length +
         "\r\n" + body;
}

void LimitTime(World& world, int64_t ms) {
  std::thread([&world, ms] {
    SleepMs(ms);
    world.Finish();
    std::fprintf(stderr, "the time limit was reached\n");
    std::_Exit(kNotRun);
  }).detach();
}

void Exit(World& world, Record& record, int code, const std::string& why) {
  const char* verdict = code == kHeld     ? "HELD"
                        : code == kBroken ? "BROKEN"
                                          : "NOT RUN";
  record.Line(std::string(verdict) + ": " + why);
  std::printf("%s: %s\n", verdict, why.c_str());
  std::fflush(stdout);
  world.Finish();
  std::_Exit(code);
}

}  // namespace review
