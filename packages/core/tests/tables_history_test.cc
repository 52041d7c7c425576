#include "basilspread/core/tables_history.h"

#include <catch2/catch.hpp>

namespace basilspread {
namespace {

TablesRecord Edit(std::uint64_t base, const std::string& author) {
  TablesRecord record;
  record.base.value = base;
  record.author = author;
  return record;
}

TablesCheckpointRecord Checkpoint(std::uint64_t version,
                                  const std::string& author,
                                  std::uint64_t covered) {
  return TablesCheckpointRecord{TablesVersion{version},
                                Edit(version - 1, author), Offset{covered}};
}

TEST_CASE("The order of the log decides between concurrent edits",
          "[configuration]") {
  TablesHistory history;
  history.BeginRead(Offset{0}, Offset{0});
  REQUIRE(history.OnEdit(Offset{0}, Edit(0, "isla")).at(0).accepted);
  REQUIRE_FALSE(history.OnEdit(Offset{1}, Edit(0, "ewan")).at(0).accepted);
  REQUIRE(history.version() == TablesVersion{1});
  REQUIRE(history.record().author == "isla");

  SECTION("a late checkpoint does not restore an older version") {
    REQUIRE(history.OnEdit(Offset{2}, Edit(1, "ewan")).at(0).accepted);
    REQUIRE(history.OnCheckpoint(Checkpoint(1, "isla", 1)).empty());
    REQUIRE(history.record().author == "ewan");
  }
  SECTION("a rejected edit is accepted when based on the newer version") {
    REQUIRE(history.OnEdit(Offset{2}, Edit(1, "ewan")).at(0).accepted);
    REQUIRE(history.version() == TablesVersion{2});
  }
}

TEST_CASE("A reader of a trimmed stream reaches the same decisions",
          "[configuration]") {
  TablesHistory history;
  history.BeginRead(Offset{0}, Offset{10});
  REQUIRE_FALSE(history.can_decide());

  SECTION("an edit is not decided without the records before it") {
    REQUIRE(history.OnEdit(Offset{10}, Edit(5, "ewan")).empty());
    REQUIRE(history.OnEnd().empty());
    REQUIRE(history.version() == TablesVersion{0});
  }
  SECTION("an edit read before the checkpoint is decided once it is read") {
    REQUIRE(history.OnEdit(Offset{10}, Edit(5, "ewan")).empty());
    REQUIRE(history.OnEdit(Offset{11}, Edit(5, "isla")).empty());
    const auto decisions = history.OnCheckpoint(Checkpoint(5, "isla", 10));
    REQUIRE(history.can_decide());
    REQUIRE(decisions.size() == 3);
    REQUIRE(history.version() == TablesVersion{6});
    REQUIRE(history.record().author == "ewan");
  }
  SECTION("an edit that the checkpoint's writer had rejected stays rejected") {
    REQUIRE(history.OnEdit(Offset{10}, Edit(6, "ewan")).empty());
    history.OnCheckpoint(Checkpoint(6, "isla", 11));
    REQUIRE(history.version() == TablesVersion{6});
    REQUIRE(history.record().author == "isla");
  }
  SECTION(
      "a checkpoint that does not cover the trimmed records decides no edit") {
    history.OnCheckpoint(Checkpoint(5, "isla", 8));
    REQUIRE_FALSE(history.can_decide());
    REQUIRE(history.OnEdit(Offset{11}, Edit(5, "late")).empty());
    history.OnCheckpoint(Checkpoint(6, "ewan", 12));
    REQUIRE(history.can_decide());
    REQUIRE(history.record().author == "ewan");
  }
}

TEST_CASE("A reader that missed trimmed records keeps its tables",
          "[configuration]") {
  TablesHistory history;
  history.BeginRead(Offset{0}, Offset{0});
  history.OnEdit(Offset{0}, Edit(0, "isla"));
  history.BeginRead(Offset{1}, Offset{4});
  REQUIRE_FALSE(history.can_decide());
  REQUIRE(history.version() == TablesVersion{1});

  SECTION("an edit that may conflict with the gap is not decided") {
    REQUIRE(history.OnEdit(Offset{4}, Edit(1, "ewan")).empty());
    history.OnCheckpoint(Checkpoint(3, "mairi", 5));
    REQUIRE(history.version() == TablesVersion{3});
    REQUIRE(history.record().author == "mairi");
  }
  SECTION("edits are decided again when the stream ends without a checkpoint") {
    history.OnEnd();
    REQUIRE(history.can_decide());
    REQUIRE(history.OnEdit(Offset{4}, Edit(1, "ewan")).at(0).accepted);
  }
}

}  // namespace
}  // namespace basilspread
