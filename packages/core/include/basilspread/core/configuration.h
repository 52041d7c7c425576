#ifndef BASILSPREAD_CORE_CONFIGURATION_H_
#define BASILSPREAD_CORE_CONFIGURATION_H_

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"

namespace basilspread {

struct ConfigurationState {
  /// In force; version 0 until the first tables were read.
  Tables tables;
  /// The record that `tables` came from.
  TablesRecord source;
  /// Set once the configuration stream was read to its end.
  bool read_to_end = false;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CONFIGURATION_H_
