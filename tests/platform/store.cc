#include "platform/store.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "platform/bounds.h"

namespace standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
/// Records of one page, and bytes of one read: PROTOCOL, metadata store.
constexpr std::size_t kPageRecords = 500;
constexpr std::size_t kReadBytes = std::size_t{1} << 20U;
/// Appends whose repeats get their first answer: PROTOCOL, metadata store.
constexpr std::size_t kRepeats = 5;
constexpr std::size_t kIdLetters = 16;

/// Splits a keyed record: one byte of length, the key, the value.
std::pair<std::string, std::string> SplitKey(const std::string& content) {
  const std::size_t length =
      content.empty() ? 0 : static_cast<unsigned char>(content.front());
  if (content.size() < 1 + length) {
    return {};
  }
  return {content.substr(1, length), content.substr(1 + length)};
}

bool IsKeyed(const std::string& topic) { return topic.starts_with("keyed."); }

}  // namespace

Store::Store(std::uint64_t seed, Hooks store_hooks)
    : hooks(std::move(store_hooks)), random(seed) {}

void Store::Handle(const Context& context, std::size_t host, CallId call,
                   const StoreCall& request) {
  ++this->calls;
  const StoreTreatment treatment = this->hooks.treat(host);
  if (treatment.loses_call) {
    return;
  }
  if (treatment.refuse_with != 0) {
    this->Answer(context, call, treatment.delay,
                 Refused{treatment.refuse_with});
    return;
  }
  if (treatment.late > Duration::zero()) {
    this->late.push_back({context.now + treatment.late, request});
    return;
  }
  const StoreAnswer answer = this->Carry(request, context.now);
  const auto* read = std::get_if<ReadCall>(&request);
  const auto* records = std::get_if<Records>(&answer);
  if (read != nullptr && records != nullptr && records->records.empty() &&
      read->wait > Duration::zero()) {
    this->waiting.push_back({call, *read, context.now + read->wait,
                             treatment.delay, treatment.loses_answer});
    return;
  }
  if (!treatment.loses_answer) {
    const bool is_append = std::holds_alternative<AppendCall>(request);
    this->Answer(context, call,
                 treatment.delay + (is_append ? Duration(bounds::kAppendTime)
                                              : Duration::zero()),
                 answer);
  }
}

void Store::Answer(const Context& context, CallId call, Duration delay,
                   const StoreAnswer& answer) const {
  context.answers.push_back(
      AnswerCall{call, delay, this->hooks.encode(answer)});
}

void Store::Advance(const Context& context) {
  for (auto& [name, group] : this->groups) {
    this->Lapse(group, context.now);
  }
  std::vector<LateCall> due;
  std::erase_if(this->late, [&due, &context](const LateCall& call) {
    const bool is_due = call.at <= context.now;
    if (is_due) {
      due.push_back(call);
    }
    return is_due;
  });
  for (const LateCall& call : due) {
    this->Carry(call.request, context.now);
  }
  std::erase_if(this->waiting, [this, &context](const WaitingRead& read) {
    const StoreAnswer answer = this->Read(read.request);
    const auto* records = std::get_if<Records>(&answer);
    const bool waits = records != nullptr && records->records.empty() &&
                       context.now < read.until;
    if (!waits && !read.loses_answer) {
      this->Answer(context, read.call, read.delay, answer);
    }
    return !waits;
  });
  for (auto& [name, topic] : this->topics) {
    while (!topic.records.empty() &&
           topic.records.front().at + bounds::kHistory < context.now) {
      topic.records.pop_front();
      ++topic.first;
    }
  }
}

StoreAnswer Store::Carry(const StoreCall& request, TimePoint now) {
  if (const auto* append = std::get_if<AppendCall>(&request)) {
    return this->Append(*append, now);
  }
  if (const auto* read = std::get_if<ReadCall>(&request)) {
    return this->Read(*read);
  }
  if (const auto* newest = std::get_if<NewestCall>(&request)) {
    return this->ListNewest(*newest);
  }
  if (const auto* join = std::get_if<JoinCall>(&request)) {
    return this->Join(*join, now);
  }
  if (const auto* leave = std::get_if<LeaveCall>(&request)) {
    return this->Leave(*leave);
  }
  const std::string& name = std::get<OwnersCall>(request).group;
  return Owners{this->groups[name].topic, this->OwnerOf(name)};
}

StoreAnswer Store::Append(const AppendCall& request, TimePoint now) {
  Topic& topic = this->topics[request.topic];
  Appended appended{topic.End(), topic.End() + request.records.size()};
  if (!request.producer.empty()) {
    Producer& producer = topic.producers[request.producer];
    if (request.epoch < producer.epoch) {
      return Fenced{producer.epoch};
    }
    if (request.epoch > producer.epoch) {
      producer = Producer{request.epoch, std::nullopt, {}};
    }
    const auto repeat = producer.answers.find(request.sequence);
    if (repeat != producer.answers.end()) {
      return repeat->second;
    }
    if (producer.sequence && request.sequence != *producer.sequence + 1) {
      return OutOfSequence{*producer.sequence + 1};
    }
    producer.sequence = request.sequence;
    producer.answers[request.sequence] = appended;
    if (producer.answers.size() > kRepeats) {
      producer.answers.erase(producer.answers.begin());
    }
  }
  for (const std::string& content : request.records) {
    this->Add(topic, content, now);
  }
  return appended;
}

void Store::Add(Topic& topic, std::string content, TimePoint now) {
  auto [key, value] = SplitKey(content);
  // Ids of submissions are the words of 16 letters and digits.
  std::string word;
  for (const char letter : key + '/') {
    if (std::isalnum(static_cast<unsigned char>(letter)) != 0) {
      word += letter;
      continue;
    }
    if (word.size() == kIdLetters) {
      ++this->stored[word];
    }
    word.clear();
  }
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {key, std::move(value), topic.End()};
  }
  topic.records.push_back({std::move(content), now});
}

StoreAnswer Store::Read(const ReadCall& request) {
  const auto found = this->topics.find(request.topic);
  if (found == this->topics.end()) {
    return Refused{kNotFound};
  }
  const Topic& topic = found->second;
  if (request.from < topic.first) {
    return Expired{topic.first};
  }
  if (request.from > topic.End()) {
    return Refused{kBadRequest};
  }
  Records answer{topic.End(), topic.first, {}};
  std::size_t bytes = 0;
  for (std::uint64_t offset = request.from;
       offset < topic.End() && bytes < kReadBytes; ++offset) {
    answer.records.push_back(topic.records[offset - topic.first].content);
    bytes += answer.records.back().size();
  }
  return answer;
}

StoreAnswer Store::ListNewest(const NewestCall& request) {
  const auto found = this->topics.find(request.topic);
  if (found == this->topics.end() || !IsKeyed(request.topic)) {
    return Refused{kNotFound};
  }
  const Topic& topic = found->second;
  Newest answer{{}, false, topic.End()};
  for (auto record = topic.newest.upper_bound(request.after);
       record != topic.newest.end(); ++record) {
    if (answer.records.size() == kPageRecords) {
      answer.has_more = true;
      break;
    }
    answer.records.push_back(record->second);
  }
  return answer;
}

StoreAnswer Store::Join(const JoinCall& request, TimePoint now) {
  if (request.time_to_live < bounds::kShortestTimeToLive) {
    return Refused{kBadRequest};
  }
  Group& group = this->groups[request.group];
  group.topic = request.topic;
  this->Lapse(group, now);
  if (!group.lapses_at.contains(request.member)) {
    ++group.generation;
  }
  group.lapses_at[request.member] = now + request.time_to_live;
  const bool hands_over = group.owner == request.member &&
                          !group.next.empty() &&
                          request.generation >= group.generation;
  if (hands_over) {
    group.owner = std::exchange(group.next, "");
  }
  this->Settle(group);
  return Joined{group.generation, group.topic,
                group.owner == request.member && group.next.empty()};
}

StoreAnswer Store::Leave(const LeaveCall& request) {
  Group& group = this->groups[request.group];
  if (group.lapses_at.erase(request.member) > 0) {
    ++group.generation;
  }
  this->Settle(group);
  return Left{};
}

void Store::Lapse(Group& group, TimePoint now) {
  const auto count = std::erase_if(group.lapses_at, [now](const auto& member) {
    return member.second < now;
  });
  group.generation += count > 0 ? 1 : 0;
  this->Settle(group);
}

void Store::Settle(Group& group) {
  if (!group.next.empty() && !group.lapses_at.contains(group.next)) {
    group.next.clear();
  }
  if (group.lapses_at.contains(group.owner)) {
    return;
  }
  if (!group.next.empty()) {
    group.owner = std::exchange(group.next, "");
    return;
  }
  group.owner.clear();
  if (!group.lapses_at.empty()) {
    ++group.generation;
    group.owner = std::next(group.lapses_at.begin(),
                            static_cast<std::ptrdiff_t>(
                                Below(this->random, group.lapses_at.size())))
                      ->first;
  }
}

void Store::Deal() {
  for (auto& [name, group] : this->groups) {
    std::vector<std::string> others;
    for (const auto& [member, lapses_at] : group.lapses_at) {
      if (member != group.owner) {
        others.push_back(member);
      }
    }
    if (!others.empty() && !group.owner.empty()) {
      ++group.generation;
      group.next = Pick(this->random, others);
    }
  }
}

void Store::PostponeLapses(Duration duration) {
  for (auto& [name, group] : this->groups) {
    for (auto& [member, lapses_at] : group.lapses_at) {
      lapses_at += duration;
    }
  }
}

void Store::Write(const std::string& topic, const std::string& key,
                  const std::optional<std::string>& value, TimePoint now) {
  Topic& written = this->topics[topic];
  this->Add(
      written,
      std::string(1, static_cast<char>(key.size())) + key + value.value_or(""),
      now);
}

void Store::ForgetHistory() {
  for (auto& [name, topic] : this->topics) {
    topic.first = topic.End();
    topic.records.clear();
  }
}

std::string Store::OwnerOf(const std::string& group) const {
  const auto found = this->groups.find(group);
  return found == this->groups.end() ? "" : found->second.owner;
}

bool Store::HasStored(const std::string& text) const {
  return this->stored.contains(text);
}

}  // namespace standin
