#ifndef BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_
#define BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_

#include "basilspread/config/ini.h"
#include "basilspread/core/tables.h"

namespace basilspread::config {

/// Reads all [route NAME] sections of the route table. The pools of `tables`
/// must have been read before, since a route of an unknown pool is an error.
void ReadRoutes(const IniFile& file, Tables& tables, Diagnostics& diagnostics);

}  // namespace basilspread::config

#endif  // BASILSPREAD_CONFIG_SRC_ROUTES_TABLE_H_
