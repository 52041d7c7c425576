#ifndef BASILSPREAD_CORE_RESULT_H_
#define BASILSPREAD_CORE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>
#include <utility>
#include <vector>

#include "basilspread/core/error.h"

namespace basilspread {

/// A value or the error that took its place.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_RESULT_H_
