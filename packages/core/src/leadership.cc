#include "basilspread/core/leadership.h"

#include <fmt/format.h>

#include <charconv>

namespace basilspread {

const char* NameOf(LeaderPhase phase) {
  switch (phase) {
    case LeaderPhase::kFollowing:
      return "following";
    case LeaderPhase::kFencing:
      return "fencing";
    case LeaderPhase::kLoading:
      return "loading";
    case LeaderPhase::kReconciling:
      return "looking";
    case LeaderPhase::kLeading:
      return "leading";
  }
  return "following";
}

std::string ToString(const GroupMember& member) {
  return fmt::format("{}/{}/{}", member.process.node.value,
                     member.process.incarnation, member.address);
}

std::optional<GroupMember> ParseGroupMember(const std::string& text) {
  const std::size_t first = text.find('/');
  const std::size_t second =
      first == std::string::npos ? first : text.find('/', first + 1);
  if (second == std::string::npos) {
    return std::nullopt;
  }
  GroupMember member;
  member.process.node.value = text.substr(0, first);
  member.address = text.substr(second + 1);
  const char* begin = text.data() + first + 1;
  const char* end = text.data() + second;
  const auto [last, status] =
      std::from_chars(begin, end, member.process.incarnation);
  if (status != std::errc() || last != end) {
    return std::nullopt;
  }
  return member;
}

}  // namespace basilspread
