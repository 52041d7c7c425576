#include "http_server.h"

#include <utility>

#include "listener.h"

namespace basilspread::node {
namespace {

constexpr int kMaxQueuedConnections = 64;
constexpr int kKeepAliveSeconds = 15;

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const HttpHandler& request_handler)
      : handler(request_handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    this->handler(request, response);
  }

 private:
  const HttpHandler& handler;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit FunctionHandlerFactory(HttpHandler request_handler)
      : handler(std::move(request_handler)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new FunctionHandler(this->handler);
  }

 private:
  HttpHandler handler;
};

}  // namespace

std::unique_ptr<Poco::Net::HTTPServer> MakeHttpServer(
    const config::Endpoint& endpoint, Poco::ThreadPool& pool, int max_threads,
    HttpHandler handler) {
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(max_threads);
  params->setMaxQueued(kMaxQueuedConnections);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  auto server = std::make_unique<Poco::Net::HTTPServer>(
      new FunctionHandlerFactory(std::move(handler)), pool, Listen(endpoint),
      params);
  return server;
}

}  // namespace basilspread::node
