// The parts of Asio and Beast that are compiled once for all.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
