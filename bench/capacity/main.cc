// Measures the slopes that docs/CAPACITY.md is worked out from.
#include <fmt/format.h>

#include "capacity/measures.h"

int main() {
  for (const auto& measure :
       {capacity::MeasureMembers, capacity::MeasureHostList,
        capacity::MeasureTables, capacity::MeasureRequests,
        capacity::MeasureIdleProcesses}) {
    for (const capacity::Slope& slope : measure()) {
      capacity::Print(slope);
    }
  }
}
