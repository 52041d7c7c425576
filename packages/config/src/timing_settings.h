#ifndef BASILSPREAD_CONFIG_SRC_TIMING_SETTINGS_H_
#define BASILSPREAD_CONFIG_SRC_TIMING_SETTINGS_H_

#include "basilspread/config/reader.h"
#include "basilspread/core/settings.h"

namespace basilspread::config {

/// Reads the [timing] section and checks that its values are consistent.
void ReadTiming(SectionReader& reader, Settings& settings);

/// Reads the times of the [store] section and checks that they are consistent.
void ReadStoreTiming(SectionReader& reader, StoreSettings& settings);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_TIMING_SETTINGS_H_
