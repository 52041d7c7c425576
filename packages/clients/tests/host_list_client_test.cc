#include "basilspread/clients/host_list_client.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace basilspread::clients {
namespace {

/// Answers every request with the same body.
class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(const std::string& answer) : body(answer) {}
  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    response.sendBuffer(this->body.data(), this->body.size());
  }

 private:
  const std::string& body;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(std::string answer) : body(std::move(answer)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(this->body);
  }

 private:
  const std::string body;
};

/// Reads a list with the given row between two valid ones.
HostsListed ListWith(const std::string& row) {
  const auto valid = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","address":"127.0.0.1:7001","group":"layout","slots":8})";
  };
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::HTTPServer server(
      new Factory(R"({"hosts":[)" + valid("h-1") + "," + row + "," +
                  valid("h-3") + "]}"),
      socket, new Poco::Net::HTTPServerParams);
  server.start();
  HostListClient client("127.0.0.1", socket.address().port(),
                        std::chrono::seconds(10));
  HostsListed listed = client.List();
  server.stopAll(true);
  return listed;
}

std::string Row(const std::string& rest) {
  return R"({"name":"h-2","address":"127.0.0.1:7002","group":"layout")" + rest +
         "}";
}

TEST_CASE("An invalid host is skipped and the other hosts are listed",
          "[clients][odd]") {
  for (const std::string& row :
       {std::string("7"), std::string("null"), std::string("[]"),
        std::string("{}"), std::string(R"({"name":"h-2"})"),
        std::string(R"({"name":"","address":"a:1","group":"g"})"),
        Row(R"(,"slots":-1)"), Row(R"(,"slots":4294967296)"),
        Row(R"(,"slots":4000000000)"), Row(R"(,"slots":"many")"),
        Row(R"(,"cpu_millicores":-1)"),
        Row(R"(,"cpu_millicores":4611686018427387904)"),
        Row(R"(,"memory_mebibytes":1e300)"), Row(R"(,"leaving":{})"),
        Row(R"(,"zone":[])")}) {
    INFO(row);
    const HostsListed listed = ListWith(row);
    CHECK(listed.ok);
    REQUIRE(listed.hosts.size() == 2);
    CHECK(listed.hosts[0].name == HostName{"h-1"});
    CHECK(listed.hosts[1].name == HostName{"h-3"});
  }
  CHECK(ListWith(Row("")).hosts.size() == 3);
}

TEST_CASE("A deeply nested host list fails without ending the process",
          "[clients][odd]") {
  CHECK_FALSE(ListWith(std::string(100'000, '[')).ok);
  CHECK_FALSE(
      ListWith(std::string(100'000, '[') + std::string(100'000, ']')).ok);
}

}  // namespace
}  // namespace basilspread::clients
