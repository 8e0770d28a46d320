// Stand-ins and helpers that the review's scripts share: the platform's store,
// application servers, sockets for clients, and the machines under test, whose
// sidecar processes are started with the command of the deploy file.
//
// Everything listens on loopback addresses of the form 127.A.B.N, which are
// chosen so that the ports are free. Threads are used freely and end with the
// process. World::Finish ends all processes that were started.
#ifndef REVIEW_STANDINS_HARNESS_H_
#define REVIEW_STANDINS_HARNESS_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);
// Whether the disruption is to be played: the variable TROUBLE is not "0".
bool Trouble();

// The lines of record.txt, with the time since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const int64_t start_;
};

// One HTTP message. `complete` is false if the connection ended inside it.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  // Returns the first value of `name`, or an empty string.
  std::string Header(std::string_view name) const;
  // The status of a response.
  int Status() const;
  // The target of a request.
  std::string Target() const;
};

enum class ReadEnd : uint8_t { kMessage, kClosed, kReset, kTimeout };

struct SocketOptions {
  int receive_buffer = 0;  // bytes; 0: the default of the system
  int segment = 0;         // largest segment in bytes, as on a real network
};

// A connected TCP socket.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  static Socket Connect(const std::string& ip, int port,
                        const SocketOptions& options = {});
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Send(std::string_view bytes);
  // Receives up to `most` bytes into the buffer.
  ReadEnd Receive(int64_t timeout_ms, size_t most = 65536);
  // Reads a request, or a response with a length or in chunks.
  ReadEnd ReadMessage(Message& message, int64_t timeout_ms);
  const std::string& buffer() const { return buffer_; }
  void Discard() { buffer_.clear(); }
  // Whether the peer closed or reset the connection within `timeout_ms`.
  bool PeerClosedWithin(int64_t timeout_ms) const;
  void Close();

 private:
  int fd_ = -1;
  std::string buffer_;
};

// The platform's metadata store: lists, watches, single items.
class Store {
 public:
  Store(const std::string& ip, int port);
  void Put(const std::string& key, const std::string& value);

 private:
  struct Event {
    uint64_t revision = 0;
    std::string key;
    std::string json;
  };
  void Serve(Socket socket);
  std::string Range(const std::string& target);
  std::string Watch(const std::string& target);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 0;
  std::map<std::string, Event> items_;
  std::vector<Event> history_;
};

// What a server does with one request.
struct Work {
  int64_t ms = 0;
  size_t body_bytes = 20;
  int64_t body_ms = 0;  // over which the body is sent at an even pace
};

// A request that a server began to work on.
struct Run {
  std::string id;
  std::string target;
  int64_t began = 0;
  int64_t ended = 0;      // 0: still at work
  bool answered = false;  // false: the connection was closed before
};

// An application server: one request at a time on each connection. It stops
// work at the deadline that it was given and when the connection closes.
class Server {
 public:
  using Behaviour = std::function<Work(const Message&)>;

  Server(std::string ip, int port, std::string id, std::string service,
         int slots, Behaviour behaviour);
  // Its entry in the store.
  std::string Entry(const std::string& zone);
  std::vector<Run> runs() const;
  // Returns how many of these requests it began to work on.
  int CountBegan(const std::set<std::string>& ids) const;
  const std::string& id() const { return id_; }

 private:
  void Serve(Socket socket);
  // Works and answers. Returns whether the connection stays open.
  bool Handle(Socket& socket, const Message& request);
  // Sends `body` at an even pace. Returns false if the connection ended.
  static bool SendPaced(Socket& socket, std::string_view body, int64_t ms);

  const std::string ip_;
  const int port_;
  const std::string id_;
  const std::string service_;
  const int slots_;
  const int64_t born_;
  Behaviour behaviour_;
  uint64_t sequence_ = 0;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

struct MachineOptions {
  std::string service;
  std::string zone = "z0";
  int slots = 80;
  Server::Behaviour behaviour;
  // Port at which the sidecar reaches the server; 0: the server's own. For a
  // proxy in between.
  int app_port = 0;
};

// A machine: a server and the sidecar process beside it.
class Machine {
 public:
  Machine(int number, std::string ip, const std::string& store_address,
          std::string folder, const MachineOptions& options);
  void Start();
  void Signal(int signal) const;
  // Whether the sidecar runs; notes how it ended.
  bool Running();
  const std::string& end() const { return end_; }
  // Kilobytes of memory that the sidecar holds.
  int64_t ResidentKb() const;
  bool Ready() const;
  const std::string& ip() const { return ip_; }
  Server& server() { return *server_; }
  const std::string& zone() const { return zone_; }
  std::string log() const { return folder_ + "/" + name_ + ".log"; }
  int64_t started() const { return started_; }

 private:
  const std::string ip_;
  const std::string folder_;
  const std::string name_;
  const std::string zone_;
  std::unique_ptr<Server> server_;
  pid_t pid_ = 0;
  int64_t started_ = 0;
  std::string end_;
};

constexpr int kStorePort = 8309;
constexpr int kAppPort = 8301;
constexpr int kReadyPort = 8302;
constexpr int kOutboundPort = 8304;

struct Route {
  std::string name;
  std::string prefix;
  std::string kind = "safe";
  std::string service;
  int timeout_ms = 1500;
  int target_latency_ms = 1500;
  int priority = 2;
  int max_attempts = 2;
};

constexpr const char* kHost = "shop.example";

// The machines of a small deployment and its store.
class World {
 public:
  World(const std::vector<MachineOptions>& machines,
        const std::vector<Route>& routes);
  ~World();
  // Starts all sidecars. Returns whether all are ready in time.
  bool Start();
  // Writes the next version of the configuration to the store.
  void PublishRoutes(const std::vector<Route>& routes,
                     int idle_timeout_ms = 15'000);
  // Waits until all machines are in touch (`stable-ms` after their start).
  void WaitUntilInTouch() const;
  Machine& machine(size_t i) { return *machines_.at(i); }
  size_t size() const { return machines_.size(); }
  // Ends all processes and removes the folder.
  void Finish();

 private:
  std::string folder_;
  std::string net_;       // "127.A.B."
  std::string services_;  // of the configuration, as JSON
  int version_ = 6;       // of the configuration
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

// A GET or POST of a client.
std::string ClientRequest(const std::string& method, const std::string& target,
                          const std::string& id, int64_t deadline_ms,
                          const std::string& body = "");

// Listens at ip:port and serves each connection in a thread. Throws
// std::runtime_error if the port is taken.
void ListenAndServe(const std::string& ip, int port,
                    std::function<void(Socket)> serve);

// Ends the process with code 2 after `ms`.
void LimitTime(World& world, int64_t ms);

// Sends SIGKILL to the processes of the world, and exits.
[[noreturn]] void Exit(World& world, Record& record, int code,
                       const std::string& why);

}  // namespace review

#endif  // REVIEW_STANDINS_HARNESS_H_
