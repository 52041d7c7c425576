#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>

#include "support/cluster.h"
#include "support/run.h"

namespace {

std::string Settings(const test::Cluster& cluster) {
  std::ifstream file(cluster.entries[0].settings_path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Write(const test::Cluster& cluster, const std::string& text) {
  std::string path = cluster.folder + "/settings.ini";
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

TEST_CASE("The entry process checks its settings before it starts",
          "[process][settings]") {
  test::Cluster cluster;
  cluster.AddEntries(2);
  cluster.StartEntry(0);
  const std::string valid = Settings(cluster);

  SECTION("valid settings") {
    const auto run =
        test::RunBasilspread({"--check", "--config", Write(cluster, valid)});
    REQUIRE(run.status == 0);
    REQUIRE(run.out == "The settings are valid.\n");
  }
  SECTION("every fault is told with file, line, section and key") {
    const std::string path = Write(cluster, valid + "colour = red\n[node]\n");
    const auto run = test::RunBasilspread({"--config", path});
    REQUIRE(run.status == 2);
    REQUIRE(run.err.find(path + ":") == 0);
    REQUIRE(run.err.find("[peers] colour: \"red\" is not an IP number") !=
            std::string::npos);
    REQUIRE(run.err.find("[node]: section is given twice") !=
            std::string::npos);
  }
  SECTION("an empty, a binary, a huge and a missing file") {
    REQUIRE(test::RunBasilspread({"--config", Write(cluster, "")}).status == 2);
    std::string binary;
    for (int byte = 0; byte < 512; ++byte) {
      binary.push_back(static_cast<char>(byte * 37));
    }
    REQUIRE(test::RunBasilspread({"--config", Write(cluster, binary)}).status ==
            2);
    const std::string huge(std::size_t{3} << 20U, '#');
    const auto run = test::RunBasilspread({"--config", Write(cluster, huge)});
    REQUIRE(run.status == 2);
    REQUIRE(run.err.find("exceeds 1 MiB") != std::string::npos);
    REQUIRE(test::RunBasilspread({"--config", "/nowhere.ini"}).status == 2);
  }
  SECTION("a port in use is told, and ends the process") {
    REQUIRE(test::Eventually([&cluster] {
      return test::RunBasilctl(
                 {"dump",
                  "127.0.0.1:" + std::to_string(cluster.entries[0].admin)})
                 .status == 0;
    }));
    const auto run = test::RunBasilspread({"--config", Write(cluster, valid)});
    REQUIRE(run.status == 1);
    REQUIRE(run.err.find("in use") != std::string::npos);
  }
}

TEST_CASE("The programs tell their use and version", "[process][settings]") {
  for (const auto& run :
       {test::RunBasilspread({"--help"}), test::RunBasilctl({"--help"}),
        test::RunBasilspread({"--version"}),
        test::RunBasilctl({"--version"})}) {
    REQUIRE(run.status == 0);
    REQUIRE(run.out.find("basil") != std::string::npos);
  }
  REQUIRE(test::RunBasilspread({}).status == 2);
  REQUIRE(test::RunBasilspread({"--colour"}).status == 2);
  REQUIRE(test::RunBasilctl({}).status == 2);
  REQUIRE(test::RunBasilctl({"juggle"}).status == 2);
  REQUIRE(test::RunBasilctl({"dump"}).status == 2);
}

TEST_CASE("A stop does not wait for peers that keep their connections",
          "[process][stop]") {
  test::Cluster cluster;
  cluster.AddEntries(1);
  cluster.StartEntry(0);
  const test::EntryProcess& entry = cluster.entries[0];
  REQUIRE(test::Eventually([&entry] {
    return test::RunBasilctl(
               {"dump", "127.0.0.1:" + std::to_string(entry.admin)})
               .status == 0;
  }));
  // A peer that is frozen neither sends nor closes.
  Poco::Net::StreamSocket frozen(
      Poco::Net::SocketAddress("127.0.0.1", entry.peer));
  entry.process->Signal(SIGTERM);
  CHECK(entry.process->WaitForExit(std::chrono::seconds(5)) == 0);
}

}  // namespace
