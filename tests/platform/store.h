#ifndef BASILSPREAD_TESTS_PLATFORM_STORE_H_
#define BASILSPREAD_TESTS_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform/context.h"
#include "platform/random.h"

namespace standin {

/// Calls of the store, as the wire's folder reads them.
struct AppendCall {
  std::string topic;
  /// Empty: the append is not numbered.
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<std::string> records;
};
struct ReadCall {
  std::string topic;
  std::uint64_t from = 0;
  Duration wait{};
};
struct NewestCall {
  std::string topic;
  std::string after;
};
struct JoinCall {
  std::string group;
  std::string member;
  std::string topic;
  Duration time_to_live{};
  std::uint64_t generation = 0;
};
struct LeaveCall {
  std::string group;
  std::string member;
};
struct OwnersCall {
  std::string group;
};
using StoreCall = std::variant<AppendCall, ReadCall, NewestCall, JoinCall,
                               LeaveCall, OwnersCall>;

/// Answers of the store.
struct Appended {
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
};
struct Fenced {
  std::uint64_t epoch = 0;
};
struct OutOfSequence {
  std::uint64_t expected = 0;
};
struct Records {
  std::uint64_t end = 0;
  std::uint64_t first = 0;
  std::vector<std::string> records;
};
struct Expired {
  std::uint64_t first = 0;
};
struct NewestRecord {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};
struct Newest {
  std::vector<NewestRecord> records;
  bool has_more = false;
  std::uint64_t end = 0;
};
struct Joined {
  std::uint64_t generation = 0;
  std::string topic;
  /// Whether the member holds the topic's partition.
  bool owns = false;
};
struct Owners {
  std::string topic;
  std::string member;
};
struct Left {};
/// The call was not carried out.
struct Refused {
  int status = 0;
};
using StoreAnswer =
    std::variant<Appended, Fenced, OutOfSequence, Records, Expired, Newest,
                 Joined, Owners, Left, Refused>;

/// What becomes of a call, decided as it arrives.
struct StoreTreatment {
  /// 0: the call is carried out.
  int refuse_with = 0;
  Duration delay{};
  /// Never carried out, never answered.
  bool loses_call = false;
  bool loses_answer = false;
  /// Not answered, and carried out this much later; zero: at once.
  Duration late{};
};

/// A stand-in of the platform's store: topics of one partition with numbered
/// appends, the newest record of each key, and groups with one partition.
class Store {
 public:
  struct Hooks {
    std::function<StoreTreatment(std::size_t host)> treat;
    std::function<PayloadPtr(const StoreAnswer&)> encode;
  };

  Store(std::uint64_t seed, Hooks store_hooks);

  void Handle(const Context& context, std::size_t host, CallId call,
              const StoreCall& request);
  /// Does what is due: late calls, reads that wait, members that lapse.
  void Advance(const Context& context);

  /// What the operator and the workers write; no value removes the key.
  void Write(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value, TimePoint now);
  /// Drops all records but the newest of each key.
  void ForgetHistory();
  /// Gives every group's partition to another member.
  void Deal();
  /// Members do not lapse while the store is away.
  void PostponeLapses(Duration duration);

  /// The member that holds the group's partition; empty without one.
  std::string OwnerOf(const std::string& group) const;
  /// Whether a record was ever appended that contains the text.
  bool HasStored(const std::string& text) const;
  std::uint64_t Calls() const { return this->calls; }

 private:
  struct Record {
    std::string content;
    TimePoint at;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    /// The last appends by number, for repeats.
    std::map<std::uint64_t, Appended> answers;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::deque<Record> records;
    std::map<std::string, NewestRecord> newest;
    std::map<std::string, Producer> producers;

    std::uint64_t End() const { return this->first + this->records.size(); }
  };
  struct Group {
    std::string topic;
    std::uint64_t generation = 0;
    std::map<std::string, TimePoint> lapses_at;
    std::string owner;
    /// Gets the partition once its holder has joined with this generation.
    std::string next;
  };
  struct WaitingRead {
    CallId call;
    ReadCall request;
    TimePoint until;
    Duration delay{};
    bool loses_answer = false;
  };
  struct LateCall {
    TimePoint at;
    StoreCall request;
  };

  StoreAnswer Carry(const StoreCall& request, TimePoint now);
  StoreAnswer Append(const AppendCall& request, TimePoint now);
  StoreAnswer Read(const ReadCall& request);
  StoreAnswer ListNewest(const NewestCall& request);
  StoreAnswer Join(const JoinCall& request, TimePoint now);
  StoreAnswer Leave(const LeaveCall& request);
  void Answer(const Context& context, CallId call, Duration delay,
              const StoreAnswer& answer) const;
  void Add(Topic& topic, std::string content, TimePoint now);
  void Settle(Group& group);
  void Lapse(Group& group, TimePoint now);

  const Hooks hooks;
  Random random;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  std::vector<WaitingRead> waiting;
  std::vector<LateCall> late;
  /// All that processes ever appended, by the words of 16 letters in it.
  std::map<std::string, std::uint64_t> stored;
  std::uint64_t calls = 0;
};

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_STORE_H_
