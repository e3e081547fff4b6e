// The one place where the functions of Beast that are no templates are compiled; see cmake/berylwing_package.cmake.
#include <boost/beast/src.hpp>
