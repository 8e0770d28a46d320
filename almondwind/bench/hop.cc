// Measures cpprestsdk as an alternative for the call path: the cost of an HTTP
// proxy built on its server and client, and whether its client resends a POST
// when a reused connection closes after the request.
//   hop proxy LISTEN UPSTREAM     both ip:port; runs until SIGTERM
//   hop resend                    prints how many times one POST arrived

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>

#include "almondwind/standins/http_server.h"

namespace {

using web::http::http_request;
using web::http::http_response;

constexpr const char* kResendAddress = "127.0.0.1:20990";

int Proxy(const std::string& listen, const std::string& upstream) {
  web::http::client::http_client client("http://" + upstream);
  web::http::experimental::listener::http_listener listener("http://" + listen);
  listener.support([&client](const http_request& in) {
    http_request out(in.method());
    out.set_request_uri(in.relative_uri());
    client.request(out).then([in](const http_response& answer) {
      answer.extract_vector().then(
          [in, code = answer.status_code()](std::vector<unsigned char> body) {
            http_response reply(code);
            reply.set_body(std::move(body));
            in.reply(reply);
          });
    });
  });
  listener.open().wait();
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  int signal = 0;
  sigwait(&set, &signal);
  listener.close().wait();
  return 0;
}

// Sends a GET and then a POST over the same connection to a server that closes
// the connection without a response on the first POST, and counts the POSTs.
int Resend() {
  boost::asio::io_context io;
  int posts = 0;
  almondwind::standins::Serve(
      io, kResendAddress, {},
      [&posts](almondwind::standins::ServedRequest& served,
               almondwind::links::HttpResponse&) {
        bool post = served.request.method() == boost::beast::http::verb::post;
        return !post || ++posts > 1;
      });
  std::thread server([&io] { io.run(); });
  std::string result;
  {
    web::http::client::http_client client(std::string("http://") +
                                          kResendAddress);
    client.request(web::http::methods::GET, "/").wait();
    try {
      auto answer = client.request(web::http::methods::POST, "/").get();
      result = "status " + std::to_string(answer.status_code());
    } catch (const std::exception& e) {
      result = e.what();
    }
  }
  io.stop();
  server.join();
  std::cout << "cpprestsdk: 1 POST sent, " << posts << " received, told "
            << result << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::string command = argc > 1 ? argv[1] : "";
  if (command == "proxy" && argc == 4) return Proxy(argv[2], argv[3]);
  if (command == "resend") return Resend();
  std::cerr << "usage: hop proxy LISTEN UPSTREAM | hop resend\n";
  return 2;
}
