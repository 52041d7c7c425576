#include "http_head.h"

#include <catch2/catch.hpp>
#include <string>

namespace basilspread::node {
namespace {

/// Parses a head made of the status line and the fields.
Result<ResponseHead> Parse(const std::string& status_line,
                           const std::string& fields) {
  return ParseResponseHead(status_line + "\r\n" + fields + "\r\n");
}

Result<ResponseHead> ParseFields(const std::string& fields) {
  return Parse("HTTP/1.1 200 OK", fields);
}

const std::string kLength = "Content-Length: 12\r\n";

TEST_CASE("A request has its host, its fields and its length", "[node][http]") {
  HttpCall call;
  call.address = "10.0.0.1:80";
  call.method = "POST";
  call.target = "/a?b=c";
  call.headers = {{"Content-Type", "application/json"}, {"X-A", "b"}};

  SECTION("With a body") {
    call.body = "{}";
    CHECK(FormatRequest(call) ==
          "POST /a?b=c HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
          "Connection: Keep-Alive\r\nContent-Type: application/json\r\n"
          "X-A: b\r\nContent-Length: 2\r\n\r\n{}");
  }

  SECTION("An empty POST has a length") {
    call.headers.clear();
    CHECK(FormatRequest(call) ==
          "POST /a?b=c HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
          "Connection: Keep-Alive\r\nContent-Length: 0\r\n\r\n");
  }

  SECTION("A GET has no length") {
    call.headers.clear();
    call.method = "GET";
    CHECK(FormatRequest(call) ==
          "GET /a?b=c HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
          "Connection: Keep-Alive\r\n\r\n");
  }
}

TEST_CASE("A response's status and length are read", "[node][http]") {
  const auto head = Parse("HTTP/1.1 409 Conflict",
                          "Date: today\r\ncontent-LENGTH:\t 12 \r\nX: \r\n");
  REQUIRE(head);
  CHECK(head.value().status == 409);
  CHECK(head.value().body_bytes == 12);
  CHECK(head.value().keep_alive);
  CHECK(Parse("HTTP/1.1 200", kLength));
  CHECK(Parse("HTTP/1.1 200 ", kLength));
}

TEST_CASE("A response determines whether its connection is kept alive",
          "[node][http]") {
  const auto keeps = [](const std::string& version, const std::string& fields) {
    return Parse("HTTP/" + version + " 200 OK", kLength + fields)
        .value()
        .keep_alive;
  };
  CHECK(keeps("1.1", "Connection: Keep-Alive\r\n"));
  CHECK(keeps("1.1", "Connection: upgrade\r\n"));
  CHECK_FALSE(keeps("1.1", "Connection: close\r\n"));
  CHECK_FALSE(keeps("1.1", "connection: x , CLOSE\r\n"));
  CHECK_FALSE(keeps("1.1", "Connection: x\r\nConnection: close\r\n"));
  CHECK_FALSE(keeps("1.0", ""));
  CHECK(keeps("1.0", "Connection: keep-alive\r\n"));
  CHECK_FALSE(keeps("1.0", "Connection: keep-alive, close\r\n"));
}

TEST_CASE("A response with two different lengths is rejected", "[node][http]") {
  CHECK_FALSE(ParseFields(kLength + "Content-Length: 13\r\n"));
  CHECK_FALSE(ParseFields("Content-Length: 12, 13\r\n"));
  CHECK_FALSE(ParseFields("Content-Length: 12, 12\r\n"));
  CHECK(ParseFields(kLength + kLength).value().body_bytes == 12);
}

TEST_CASE("A length that is not a plain number is rejected", "[node][http]") {
  for (const char* length :
       {"", "-1", "+1", "0x10", "1 2", "1a", "12.0", "99999999999",
        "18446744073709551616", "99999999999999999999999"}) {
    CAPTURE(length);
    CHECK_FALSE(ParseFields(std::string("Content-Length: ") + length + "\r\n"));
  }
}

TEST_CASE("A response without a length is rejected", "[node][http]") {
  CHECK_FALSE(ParseFields(""));
  CHECK_FALSE(ParseFields("Connection: close\r\n"));
  CHECK_FALSE(ParseFields("Transfer-Encoding: chunked\r\n"));
  CHECK_FALSE(ParseFields(kLength + "Transfer-Encoding: chunked\r\n"));
}

TEST_CASE("A malformed status line is rejected", "[node][http]") {
  for (const char* line :
       {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000 OK",
        "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1 2 0 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 600 OK",
        "HTTP/2 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK", " HTTP/1.1 200",
        "200 OK"}) {
    CAPTURE(line);
    CHECK_FALSE(Parse(line, kLength));
  }
}

TEST_CASE("A malformed field is rejected", "[node][http]") {
  for (const char* field :
       {"no colon", ": no name", "Content-Length : 12", " folded: line",
        "two words: x", "X: a\rb", "X: a\nContent-Length: 13", "X: \x7f",
        "X\x01: a"}) {
    CAPTURE(field);
    CHECK_FALSE(ParseFields(kLength + field + "\r\n"));
  }
  CHECK_FALSE(ParseFields(kLength + "X: " + std::string(1, '\0') + "\r\n"));
}

TEST_CASE("A truncated head is rejected", "[node][http]") {
  const std::string whole = "HTTP/1.1 200 OK\r\n" + kLength + "\r\n";
  REQUIRE(ParseResponseHead(whole));
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CAPTURE(bytes);
    CHECK_FALSE(ParseResponseHead(whole.substr(0, bytes)));
  }
  CHECK_FALSE(ParseResponseHead(whole + "{}\r\n\r\n"));
}

}  // namespace
}  // namespace basilspread::node
