#ifndef BASILSPREAD_CONFIG_SRC_QUOTAS_TABLE_H_
#define BASILSPREAD_CONFIG_SRC_QUOTAS_TABLE_H_

#include <string>

#include "basilspread/config/reader.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Reads a [team NAME] section of the pool table.
void ReadQuota(const std::string& name, SectionReader& reader, Tables& tables);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_QUOTAS_TABLE_H_
