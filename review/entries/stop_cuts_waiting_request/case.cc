// A planned stop while requests arrive slowly.
//
// Clients on kept connections send an order over 3.4 s. Shortly after they have
// begun, their machine gets SIGTERM. The order is complete 3.2 s after that, is
// passed on to a server beside another machine, which works on it for 2.5 s,
// and would be answered within the grace period. Counts the orders that were
// passed on and whose connection ended without an answer.
#include <algorithm>
#include <atomic>
#include <csignal>

#include "review/standins/harness.h"

namespace {

using review::NowMs;

constexpr int kClients = 20;
constexpr int64_t kBeforeStopMs = 200;  // from the first byte to SIGTERM
constexpr int64_t kSendMs = 3400;       // from the first byte to the last
constexpr int64_t kPieceMs = 100;
constexpr size_t kBodyBytes = 1200;
constexpr int64_t kWorkMs = 2500;
constexpr int64_t kGraceMs = 6000;
constexpr int kTimeoutMs = 10'000;  // of the route, and of the clients

struct Counts {
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
};

void RunClient(const std::string& ip, int number, std::atomic<int64_t>& stopped,
               Counts& counts, review::Record& record) {
  review::Socket socket = review::Socket::Connect(ip, review::kOutboundPort);
  std::string name = "client" + std::to_string(number);
  review::Message answer;  // the connection is a kept one
  socket.Send(review::ClientRequest("GET", "/pages/1", name + ".0", 5000));
  if (socket.ReadMessage(answer, 5000) != review::ReadEnd::kMessage) return;
  std::string bytes =
      review::ClientRequest("POST", "/orders/1", name + ".1", kTimeoutMs,
                            std::string(kBodyBytes, 'o'));
  int64_t began = NowMs();
  size_t head = bytes.size() - kBodyBytes;
  size_t sent = head;
  socket.Send(std::string_view(bytes).substr(0, head));
  while (sent < bytes.size()) {
    review::SleepMs(kPieceMs);
    int64_t share = std::min<int64_t>(kSendMs, NowMs() - began);
    size_t due = head + kBodyBytes * static_cast<size_t>(share) /
                            static_cast<size_t>(kSendMs);
    if (!socket.Send(std::string_view(bytes).substr(sent, due - sent))) break;
    sent = due;
  }
  int64_t last_byte = NowMs();
  review::ReadEnd end = socket.ReadMessage(answer, kTimeoutMs);
  int64_t stop = stopped;
  std::string text = name + ": sent whole ";
  text +=
      stop == 0 ? "" : std::to_string(last_byte - stop) + " ms after SIGTERM";
  if (end == review::ReadEnd::kMessage) {
    bool refusal = answer.Status() == 503 || answer.Status() == 408;
    ++(refusal ? counts.refused : counts.answered);
    text += ", answered " + std::to_string(answer.Status());
  } else {
    ++counts.cut;
    text += ", the connection ended without an answer";
  }
  if (stop != 0) text += " " + std::to_string(NowMs() - stop) + " ms after it";
  record.Line(text);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  review::Record record(argv[1]);
  std::vector<review::MachineOptions> machines(2);
  for (review::MachineOptions& options : machines) {
    options.service = "orders";
    options.behaviour = [](const review::Message& request) {
      bool order = request.Target().rfind("/orders/", 0) == 0;
      return review::Work{order ? kWorkMs : 20, 40};
    };
  }
  std::vector<review::Route> routes(2);
  routes[0] = {"orders",   "/orders/", "unsafe", "orders",
               kTimeoutMs, 4000,       0,        2};
  routes[1] = {"pages", "/pages/", "safe", "orders", 5000, 1500, 2, 2};
  review::World world(machines, routes);
  review::LimitTime(world, 110'000);
  if (!world.Start()) {
    review::Exit(world, record, review::kNotRun, "the machines are not ready");
  }
  world.WaitUntilInTouch();
  Counts counts;
  std::atomic<int64_t> stopped{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      RunClient(world.machine(0).ip(), i, stopped, counts, record);
    });
  }
  review::SleepMs(kBeforeStopMs);
  if (review::Trouble()) {
    stopped = NowMs();
    record.Line("SIGTERM");
    world.machine(0).Signal(SIGTERM);
    std::thread([&world, &stopped, &record] {
      while (NowMs() < stopped + kGraceMs) {
        if (!world.machine(0).Running()) {
          record.Line("the sidecar ended " + std::to_string(NowMs() - stopped) +
                      " ms after SIGTERM: " + world.machine(0).end());
          return;
        }
        review::SleepMs(10);
      }
      world.machine(0).Signal(SIGKILL);
      record.Line("SIGKILL");
    }).detach();
  }
  for (std::thread& client : clients) client.join();
  int runs = 0;
  for (size_t i = 0; i < world.size(); ++i) {
    for (const review::Run& run : world.machine(i).server().runs()) {
      runs += run.target.rfind("/orders/", 0) == 0 ? 1 : 0;
    }
  }
  std::string why = std::to_string(runs) + " orders run, " +
                    std::to_string(counts.answered) + " answered, " +
                    std::to_string(counts.refused) + " refused, " +
                    std::to_string(counts.cut) + " cut off";
  review::Exit(world, record,
               runs > 0 && counts.cut > 0 ? review::kBroken : review::kHeld,
               why);
}
