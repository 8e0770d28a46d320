// The operator shortens the idle timeout while clients read answers slowly.
//
// Clients on kept connections send 16 safe requests at once and read the
// answers, of 60 KB each, at 100 KB a second and without a pause, over links
// with segments of the usual size. They do so twice: first with the
// configuration unchanged, then the operator writes one that differs in
// `idle-timeout-ms` alone. Counts the requests whose connection is closed
// without an answer.
#include <algorithm>
#include <atomic>

#include "review/standins/harness.h"

namespace {

using review::NowMs;

constexpr int kClients = 10;
constexpr int kDepth = 16;
constexpr size_t kAnswerBytes = 60'000;
constexpr size_t kPartBytes = 5'000;
constexpr int64_t kPartMs = 50;
constexpr int64_t kWorkMs = 200;
constexpr int kTimeoutMs = 20'000;  // of the route, and of the clients
constexpr int kReceiveBuffer = 8192;
constexpr int kSegment = 1460;
constexpr int kIdleTimeoutMs = 3000;  // 15 s before
// From the requests to the change of the configuration.
constexpr int64_t kChangeAfterMs = 2000;

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> whole{0};
  std::atomic<int> cut_before{0};  // requests without a whole answer
  std::atomic<int> cut_around{0};  // the same, in the second round
  std::mutex mutex;
  std::set<std::string> cut;  // ids of the requests without any answer
};

// Returns how many answers of kAnswerBytes stand whole in `bytes`, and whether
// a further one has begun.
std::pair<int, bool> CountAnswers(const std::string& bytes) {
  int whole = 0;
  size_t at = 0;
  for (;;) {
    size_t head = bytes.find("\r\n\r\n", at);
    if (head == std::string::npos) return {whole, at < bytes.size()};
    if (bytes.size() < head + 4 + kAnswerBytes) return {whole, true};
    at = head + 4 + kAnswerBytes;
    ++whole;
  }
}

void RunClient(const std::string& ip, const std::string& name, bool around,
               Counts& counts, review::Record& record) {
  review::SocketOptions options;
  options.receive_buffer = kReceiveBuffer;
  options.segment = kSegment;
  review::Socket socket =
      review::Socket::Connect(ip, review::kOutboundPort, options);
  review::Message first;  // the connection is a kept one
  socket.Send(review::ClientRequest("GET", "/small/1", name + ".", 5000));
  if (socket.ReadMessage(first, 5000) != review::ReadEnd::kMessage) return;
  std::string bytes;
  for (int i = 0; i < kDepth; ++i) {
    bytes += review::ClientRequest("GET", "/drawings/1",
                                   name + "." + std::to_string(i), kTimeoutMs);
  }
  if (!socket.Send(bytes)) return;
  counts.sent += kDepth;
  int64_t sent = NowMs();
  review::ReadEnd state = review::ReadEnd::kMessage;
  std::pair<int, bool> got;
  while (got.first < kDepth && NowMs() < sent + kTimeoutMs) {
    int64_t next = NowMs() + kPartMs;
    state = socket.Receive(sent + kTimeoutMs - NowMs(), kPartBytes);
    if (state != review::ReadEnd::kMessage) break;
    got = CountAnswers(socket.buffer());
    review::SleepMs(next - NowMs());
  }
  record.Line(name + ": " + std::to_string(got.first) + " answers, " +
              std::to_string(socket.buffer().size()) + " bytes after " +
              std::to_string(NowMs() - sent) + " ms" +
              (got.first == kDepth                 ? ""
               : state == review::ReadEnd::kClosed ? ", then closed"
               : state == review::ReadEnd::kReset  ? ", then reset"
                                                   : ", then nothing"));
  counts.whole += got.first;
  (around ? counts.cut_around : counts.cut_before) += kDepth - got.first;
  std::lock_guard<std::mutex> lock(counts.mutex);
  for (int i = got.first + (got.second ? 1 : 0); i < kDepth; ++i) {
    counts.cut.insert(name + "." + std::to_string(i));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  review::Record record(argv[1]);
  std::vector<review::MachineOptions> machines(1);
  machines[0].service = "drawings";
  machines[0].slots = 200;
  machines[0].behaviour = [](const review::Message& request) {
    bool large = request.Target().rfind("/drawings/", 0) == 0;
    return large ? review::Work{kWorkMs, kAnswerBytes} : review::Work{20, 40};
  };
  std::vector<review::Route> routes(2);
  routes[0] = {"drawings", "/drawings/", "safe", "drawings",
               kTimeoutMs, 1500,         2,      2};
  routes[1] = {"small", "/small/", "safe", "drawings", 5000, 1500, 2, 2};
  review::World world(machines, routes);
  review::LimitTime(world, 110'000);
  if (!world.Start()) {
    review::Exit(world, record, review::kNotRun, "the machines are not ready");
  }
  world.WaitUntilInTouch();
  Counts counts;
  for (bool around : {false, true}) {
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      std::string name = (around ? "second" : "first") + std::to_string(i);
      clients.emplace_back([&, name, around] {
        RunClient(world.machine(0).ip(), name, around, counts, record);
      });
    }
    review::SleepMs(kChangeAfterMs);
    if (around && review::Trouble()) {
      world.PublishRoutes(routes, kIdleTimeoutMs);
      record.Line("idle-timeout-ms is " + std::to_string(kIdleTimeoutMs));
    }
    for (std::thread& client : clients) client.join();
  }
  int passed_on = world.machine(0).server().CountBegan(counts.cut);
  std::string why =
      std::to_string(counts.sent) + " requests, " +
      std::to_string(counts.whole) +
      " answers whole; cut off in the first round " +
      std::to_string(counts.cut_before) + ", in the second " +
      std::to_string(counts.cut_around) +
      "; passed on and without any answer: " + std::to_string(passed_on);
  review::Exit(world, record, passed_on > 3 ? review::kBroken : review::kHeld,
               why);
}
