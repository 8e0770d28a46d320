// Many clients that read slowly.
//
// Clients arrive one after another; each sends 16 safe requests at once and
// reads the answers, of 60 KB each, at about 64 KB a second, which takes it 15
// of the 20 seconds that it has. Without the disruption they read at once.
// Other clients send one small request after another on kept connections. The
// platform kills a process that exceeds its `memory-mb`. Counts the requests of
// the others whose connection was closed without an answer.
#include <algorithm>
#include <atomic>
#include <csignal>

#include "review/standins/harness.h"

namespace {

using review::NowMs;

constexpr int kSlow = 600;
constexpr int kOthers = 40;
constexpr int kDepth = 16;
constexpr size_t kAnswerBytes = 60'000;
constexpr int64_t kDeadlineMs = 20'000;
constexpr int64_t kMemoryMb = 260;
constexpr int64_t kPlayMs = 30'000;
constexpr size_t kPartBytes = 4096;
constexpr int64_t kPartMs = 64;

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::mutex mutex;
  std::set<std::string> cut;  // ids: the connection was closed
  std::atomic<bool> stop{false};
};

void RunSlow(const std::string& ip, int number, const Counts& counts) {
  review::SocketOptions options;
  options.receive_buffer = 8192;
  options.segment = 1460;
  review::Socket socket =
      review::Socket::Connect(ip, review::kOutboundPort, options);
  std::string bytes;
  for (int j = 0; j < kDepth; ++j) {
    bytes += review::ClientRequest(
        "GET", "/drawings/" + std::to_string(j),
        "slow" + std::to_string(number) + "." + std::to_string(j), kDeadlineMs);
  }
  socket.Send(bytes);
  int64_t end = NowMs() + kDeadlineMs;
  while (!counts.stop && NowMs() < end) {
    if (socket.Receive(1000, kPartBytes) == review::ReadEnd::kClosed) break;
    socket.Discard();
    if (review::Trouble()) review::SleepMs(kPartMs);
  }
}

void RunOther(const std::string& ip, int number, Counts& counts) {
  review::Socket socket(-1);
  for (int i = 0; !counts.stop; ++i) {
    if (!socket.open()) {
      socket = review::Socket::Connect(ip, review::kOutboundPort);
    }
    std::string id = "o" + std::to_string(number) + "." + std::to_string(i);
    if (!socket.Send(review::ClientRequest("GET", "/pages/1", id, 5000))) {
      socket.Close();
      review::SleepMs(100);
      continue;
    }
    ++counts.sent;
    review::Message answer;
    if (socket.ReadMessage(answer, 6000) == review::ReadEnd::kMessage) {
      ++counts.answered;
    } else {
      std::lock_guard<std::mutex> lock(counts.mutex);
      counts.cut.insert(id);
      socket.Close();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  review::Record record(argv[1]);
  std::vector<review::MachineOptions> machines(1);
  machines[0].service = "drawings";
  machines[0].behaviour = [](const review::Message& request) {
    bool large = request.Target().rfind("/drawings/", 0) == 0;
    return large ? review::Work{30, kAnswerBytes} : review::Work{300, 400};
  };
  std::vector<review::Route> routes(2);
  routes[0] = {"drawings",
               "/drawings/",
               "safe",
               "drawings",
               static_cast<int>(kDeadlineMs),
               1500,
               2,
               2};
  routes[1] = {"pages", "/pages/", "safe", "drawings", 5000, 1500, 0, 2};
  review::World world(machines, routes);
  review::LimitTime(world, 110'000);
  if (!world.Start()) {
    review::Exit(world, record, review::kNotRun, "the machines are not ready");
  }
  world.WaitUntilInTouch();
  Counts counts;
  std::vector<std::thread> threads;
  const std::string ip = world.machine(0).ip();
  for (int i = 0; i < kOthers; ++i) {
    threads.emplace_back([&, i] { RunOther(ip, i, counts); });
  }
  int64_t end = NowMs() + kPlayMs;
  int64_t peak = 0;
  int64_t next = 0;
  int slow = 0;
  bool killed = false;
  while (NowMs() < end && !killed) {
    if (slow < kSlow) {
      threads.emplace_back([&ip, &counts, slow] { RunSlow(ip, slow, counts); });
      ++slow;
    }
    review::SleepMs(15);
    int64_t kb = world.machine(0).ResidentKb();
    peak = std::max(peak, kb);
    if (NowMs() >= next) {
      record.Line(std::to_string(slow) + " such clients, " +
                  std::to_string(kb / 1024) + " MB");
      next = NowMs() + 1000;
    }
    if (kb <= kMemoryMb * 1024) continue;
    record.Line("memory-mb is exceeded: the platform kills the process");
    world.machine(0).Signal(SIGKILL);
    killed = true;
  }
  review::SleepMs(500);
  counts.stop = true;
  for (size_t i = 0; i < kOthers; ++i) threads.at(i).join();
  int passed_on = world.machine(0).server().CountBegan(counts.cut);
  std::string why = std::to_string(counts.sent) + " sent, " +
                    std::to_string(counts.answered) + " answered, " +
                    std::to_string(counts.cut.size()) + " cut off, of which " +
                    std::to_string(passed_on) + " had been passed on; peak " +
                    std::to_string(peak / 1024) + " MB with " +
                    std::to_string(slow) + " such clients";
  review::Exit(world, record, passed_on > 3 ? review::kBroken : review::kHeld,
               why);
}
