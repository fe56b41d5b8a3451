// The one copy of the JSON library's code.
#include <boost/json/src.hpp>
