#include "addresses.h"

#include <fmt/format.h>

namespace basilspread::config {
namespace {

bool IsWildcard(const Endpoint& endpoint) {
  return endpoint.host == "0.0.0.0" || endpoint.host == "::";
}

std::string_view SectionOf(AddressUse use) {
  switch (use) {
    case AddressUse::kListen:
      return "listen";
    case AddressUse::kPlatform:
      return "platform";
    case AddressUse::kPeer:
      return "peers";
  }
  return "";
}

}  // namespace

std::string AddressRegistry::Add(AddressUse use, std::string_view key,
                                 const Endpoint& endpoint) {
  if (use != AddressUse::kListen && IsWildcard(endpoint)) {
    return fmt::format("{} is not an address to connect to",
                       endpoint.ToString());
  }
  const Entry added{use, std::string(key), endpoint};
  for (const Entry& entry : this->entries) {
    if (Conflicts(entry, added)) {
      return fmt::format("{} is used by [{}] {} already", endpoint.ToString(),
                         SectionOf(entry.use), entry.key);
    }
  }
  this->entries.push_back(added);
  return "";
}

bool AddressRegistry::Conflicts(const Entry& left, const Entry& right) {
  if (left.endpoint.port != right.endpoint.port) {
    return false;
  }
  // One platform service may provide both the log and the host list.
  if (left.use == AddressUse::kPlatform && right.use == AddressUse::kPlatform) {
    return false;
  }
  const bool both_listen =
      left.use == AddressUse::kListen && right.use == AddressUse::kListen;
  const bool has_wildcard =
      IsWildcard(left.endpoint) || IsWildcard(right.endpoint);
  return left.endpoint.host == right.endpoint.host ||
         (both_listen && has_wildcard);
}

}  // namespace basilspread::config
