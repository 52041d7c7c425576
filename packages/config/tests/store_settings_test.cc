#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "basilspread/config/node_settings.h"

namespace basilspread::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kHead =
    "[node]\nname = glasgow-1\nzone = glasgow\n"
    "[listen]\nhttp = 10.0.0.1:80\nadmin = 10.0.0.1:81\npeer = 10.0.0.1:82\n";
const std::string kAddresses =
    "[store]\naddress = 10.0.9.1:90\nready = 10.0.0.1:83\n";

std::string ErrorsOf(const std::string& store_section) {
  const auto parsed = ParseNodeSettings(kHead + store_section, "node.ini");
  return parsed ? "" : parsed.error().detail;
}

TEST_CASE("A [store] section replaces the [platform] section",
          "[config][settings]") {
  const auto parsed = ParseNodeSettings(
      kHead + kAddresses +
          "advisor = 10.0.9.2:91\nmax_lease = 4s\nstop_grace = 5s\n",
      "node.ini");
  REQUIRE(parsed);
  const NodeSettings& settings = parsed.value();
  CHECK(settings.core.store.enabled);
  CHECK(settings.store.ToString() == "10.0.9.1:90");
  CHECK(settings.ready.ToString() == "10.0.0.1:83");
  CHECK(settings.advisor.ToString() == "10.0.9.2:91");
  CHECK(settings.core.store.max_lease == seconds(4));
  CHECK(settings.core.store.stop_grace == seconds(5));
  CHECK(settings.core.store.join_interval == milliseconds(300));
}

TEST_CASE("The membership's time to live is raised to the store's minimum",
          "[config][settings]") {
  const auto parsed = ParseNodeSettings(
      kHead + kAddresses +
          "member_time_to_live = 1s\nshortest_time_to_live = 2500ms\n",
      "node.ini");
  REQUIRE(parsed);
  CHECK(parsed.value().core.store.member_time_to_live == milliseconds(2500));
}

TEST_CASE("The host's capacity is read from its section",
          "[config][settings]") {
  const auto parsed = ParseNodeSettings(
      kHead + "[host]\nprocessor_share = 0.12\nlink_mbps = 10.0\n" + kAddresses,
      "node.ini");
  REQUIRE(parsed);
  CHECK(parsed.value().core.capacity.processor_share == Approx(0.12));
  CHECK(parsed.value().core.capacity.link_mbps == Approx(10));
  const auto none = ParseNodeSettings(kHead + kAddresses, "node.ini");
  REQUIRE(none);
  CHECK_FALSE(IsStated(none.value().core.capacity));
  for (const char* text : {"0", "-1", "1.5", "much", "nan", "0.1x"}) {
    const std::string section =
        std::string("[host]\nprocessor_share = ") + text + "\n";
    CHECK(ErrorsOf(section + kAddresses).find("processor_share") !=
          std::string::npos);
  }
}

TEST_CASE("The advisor is optional", "[config][settings]") {
  const auto parsed = ParseNodeSettings(kHead + kAddresses, "node.ini");
  REQUIRE(parsed);
  CHECK(parsed.value().advisor.host.empty());
}

TEST_CASE("Errors in the [store] section are reported", "[config][settings]") {
  CHECK(ErrorsOf("[store]\nready = 10.0.0.1:83\n").find("address") !=
        std::string::npos);
  CHECK(ErrorsOf("[store]\naddress = nowhere\nready = 10.0.0.1:83\n")
            .find("node.ini:9: [store] address") != std::string::npos);
  CHECK(ErrorsOf(kAddresses + "max_lease = 1\n").find("max_lease") !=
        std::string::npos);
  CHECK(ErrorsOf(kAddresses + "max_lease = 1ms\n").find("max_lease") !=
        std::string::npos);
  CHECK(ErrorsOf(kAddresses + "lease = 1s\n").find("lease") !=
        std::string::npos);
}

TEST_CASE("A membership outlasts one lost join", "[config][settings]") {
  CHECK(ErrorsOf(kAddresses +
                 "member_time_to_live = 500ms\njoin_interval = 300ms\n")
            .find("twice join_interval") != std::string::npos);
}

}  // namespace
}  // namespace basilspread::config
