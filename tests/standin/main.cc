// Stand-ins for the platform: standin log|hosts PORT, standin minion PORT NAME
// SLOTS, standin worker PORT MILLICORES MEBIBYTES ACCELERATORS, standin link
// CONTROL_PORT PORT TARGET_PORT
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <fmt/format.h>
#include <signal.h>

#include "standin.h"

namespace standin {
namespace {

constexpr int kMaxThreads = 512;

class HandlerAdapter : public Poco::Net::HTTPRequestHandler {
 public:
  explicit HandlerAdapter(const Handler& request_handler)
      : handler(request_handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    this->handler(request, response);
  }

 private:
  const Handler& handler;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(const Handler& request_handler) : handler(request_handler) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new HandlerAdapter(this->handler);
  }

 private:
  const Handler& handler;
};

Handler MakeHandler(int argc, char** argv) {
  const std::string role = argv[1];
  if (role == "log") {
    return MakeLog();
  }
  if (role == "hosts") {
    return MakeHostList();
  }
  if (role == "link" && argc == 5) {
    return MakeLink(static_cast<std::uint16_t>(std::stoi(argv[3])),
                    static_cast<std::uint16_t>(std::stoi(argv[4])));
  }
  if (role == "minion" && argc == 5) {
    return MakeMinion(argv[3], std::stoi(argv[4]));
  }
  if (role == "worker" && argc == 6) {
    return MakeWorker(WorkerCapacity{std::stoll(argv[3]), std::stoll(argv[4]),
                                     std::stoll(argv[5])});
  }
  return nullptr;
}

}  // namespace

void Serve(std::uint16_t port, const Handler& handler) {
  Poco::ThreadPool pool(1, kMaxThreads);
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(kMaxThreads);
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", port));
  Poco::Net::HTTPServer server(new Factory(handler), pool, socket, params);
  server.start();
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  int number = 0;
  sigwait(&signals, &number);
  // Open exchanges are cut, as when a host dies.
  std::_Exit(0);
}

std::string ReadBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

void Reply(Poco::Net::HTTPServerResponse& response, int status,
           const std::string& body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

}  // namespace standin

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  try {
    const standin::Handler handler =
        argc >= 3 ? standin::MakeHandler(argc, argv) : nullptr;
    if (!handler) {
      fmt::print(stderr,
                 "usage: standin log|hosts|minion|worker|link PORT [...]\n");
      return 2;
    }
    standin::Serve(static_cast<std::uint16_t>(std::stoi(argv[2])), handler);
  } catch (const Poco::Exception& exception) {
    fmt::print(stderr, "standin: {}\n", exception.displayText());
    return 1;
  }
}
