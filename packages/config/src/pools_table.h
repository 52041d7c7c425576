#ifndef BASILSPREAD_CONFIG_SRC_POOLS_TABLE_H_
#define BASILSPREAD_CONFIG_SRC_POOLS_TABLE_H_

#include <string>

#include "basilspread/config/reader.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Reads a [pool NAME] section of the pool table.
void ReadPool(const std::string& name, SectionReader& reader, Tables& tables);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_POOLS_TABLE_H_
