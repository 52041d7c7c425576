#ifndef BASILSPREAD_TESTS_SOAK_OUTAGES_H_
#define BASILSPREAD_TESTS_SOAK_OUTAGES_H_

#include <map>
#include <vector>

#include "soak/world.h"

namespace soak {

/// For each kind of fault, and each fault of the kind: the longest time without
/// an acceptance from its begin to the contact window after its end. Where
/// faults overlap, each is charged with the whole time. Sorted.
std::map<std::size_t, std::vector<Duration>> FindOutages(const World& world);

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_OUTAGES_H_
