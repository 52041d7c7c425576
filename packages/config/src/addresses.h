#ifndef BASILSPREAD_CONFIG_SRC_ADDRESSES_H_
#define BASILSPREAD_CONFIG_SRC_ADDRESSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilspread/config/node_settings.h"

namespace basilspread::config {

/// What a process does with an address of its settings.
enum class AddressUse { kListen, kPlatform, kPeer };

/// Finds addresses that cannot stand together in one settings file.
class AddressBook {
 public:
  /// What is wrong with one more address; empty when nothing is.
  std::string Add(AddressUse use, std::string_view key,
                  const Endpoint& endpoint);

 private:
  struct Entry {
    AddressUse use;
    std::string key;
    Endpoint endpoint;
  };

  static bool Clash(const Entry& left, const Entry& right);

  std::vector<Entry> entries;
};

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_ADDRESSES_H_
