#ifndef BASILSPREAD_CONFIG_SRC_ADDRESSES_H_
#define BASILSPREAD_CONFIG_SRC_ADDRESSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilspread/config/node_settings.h"

namespace basilspread::config {

/// How a process uses an address of its settings: it listens on it or connects
/// to it.
enum class AddressUse { kListen, kPlatform, kPeer };

/// Detects conflicting addresses in a settings file.
class AddressRegistry {
 public:
  /// Adds an address. Returns the reason if it conflicts with an earlier one or
  /// is unusable, else an empty string.
  std::string Add(AddressUse use, std::string_view key,
                  const Endpoint& endpoint);

 private:
  struct Entry {
    AddressUse use;
    std::string key;
    Endpoint endpoint;
  };

  static bool Conflicts(const Entry& left, const Entry& right);

  std::vector<Entry> entries;
};

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_ADDRESSES_H_
