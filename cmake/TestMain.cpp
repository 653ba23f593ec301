// Entry point of every test program; BOOST_TEST_MODULE is set by the build.
#include <boost/test/unit_test.hpp>
