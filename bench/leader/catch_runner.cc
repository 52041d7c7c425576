// The stand-ins of the tests refer to Catch2; no test runs here.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
