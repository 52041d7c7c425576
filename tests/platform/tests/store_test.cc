#include "platform/store.h"

#include <catch2/catch.hpp>

namespace standin {
namespace {

using std::chrono::seconds;

const std::string kTopic = "keyed.work";

/// A record as an append carries it: the key's length, the key, the value.
std::string Record(const std::string& key, const std::string& value) {
  return std::string(1, static_cast<char>(key.size())) + key + value;
}

/// The answers of a store without faults.
struct Fixture {
  template <typename Answer>
  Answer Call(const StoreCall& request) {
    std::vector<AnswerCall> answers;
    this->store.Handle({this->now, answers}, 0, {}, request);
    REQUIRE(std::holds_alternative<Answer>(this->last));
    return std::get<Answer>(this->last);
  }

  Joined Join(const std::string& member, std::uint64_t generation = 0) {
    return this->Call<Joined>(
        JoinCall{"group", member, "leadership", seconds(1), generation});
  }

  TimePoint now{std::chrono::hours(1)};
  StoreAnswer last;
  Store store{1,
              {[](std::size_t) { return StoreTreatment{}; },
               [this](const StoreAnswer& answer) {
                 this->last = answer;
                 return PayloadPtr();
               }}};
};

TEST_CASE("Appends are numbered, and an old epoch is fenced", "[standin]") {
  Fixture f;
  const auto append = [](std::uint64_t epoch, std::uint64_t sequence) {
    return AppendCall{kTopic, "leader", epoch, sequence, {Record("k", "v")}};
  };
  CHECK(f.Call<Appended>(append(2, 7)).offset == 0);
  CHECK(f.Call<Appended>(append(2, 8)).offset == 1);
  // A repeat gets its first answer.
  CHECK(f.Call<Appended>(append(2, 7)).offset == 0);
  CHECK(f.Call<OutOfSequence>(append(2, 10)).expected == 9);
  CHECK(f.Call<Fenced>(append(1, 1)).epoch == 2);
  CHECK(f.Call<Appended>(append(3, 1)).offset == 2);
}

TEST_CASE("The newest record of each key outlasts the history", "[standin]") {
  Fixture f;
  f.store.Write(kTopic, "a", "1", f.now);
  f.store.Write(kTopic, "a", "2", f.now);
  f.store.Write(kTopic, "b", "3", f.now);
  f.store.Write(kTopic, "b", std::nullopt, f.now);
  CHECK(f.Call<Records>(ReadCall{kTopic, 1, {}}).records.size() == 3);
  f.store.ForgetHistory();
  CHECK(f.Call<Expired>(ReadCall{kTopic, 1, {}}).first == 4);
  const auto newest = f.Call<Newest>(NewestCall{kTopic, ""});
  REQUIRE(newest.records.size() == 1);
  CHECK(newest.records.front().value == "2");
}

TEST_CASE("A group has one holder, with a later generation each time",
          "[standin]") {
  Fixture f;
  const Joined first = f.Join("a");
  CHECK(first.owns);
  CHECK_FALSE(f.Join("b").owns);
  SECTION("who falls silent loses it") {
    f.now += seconds(2);
    const Joined next = f.Join("b");
    CHECK(next.owns);
    CHECK(next.generation > first.generation);
  }
  SECTION("who leaves loses it") {
    f.Call<Left>(LeaveCall{"group", "a"});
    CHECK(f.Join("b").owns);
  }
  SECTION("it moves once its holder has joined without it") {
    f.store.Deal();
    CHECK_FALSE(f.Join("b").owns);
    const Joined told = f.Join("a", first.generation);
    CHECK_FALSE(told.owns);
    CHECK_FALSE(f.Join("b").owns);
    f.Join("a", told.generation);
    CHECK(f.Join("b").owns);
  }
}

}  // namespace
}  // namespace standin
