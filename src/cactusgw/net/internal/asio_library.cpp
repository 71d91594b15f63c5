// Separate compilation of Asio and Beast: this file holds their function
// definitions, so that other files needn't compile them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
