#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../line_reporter.h"
