// The one place where the functions of Asio that are no templates are compiled; see cmake/berylwing_package.cmake.
#include <boost/asio/impl/src.hpp>
