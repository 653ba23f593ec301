#include <boost/test/unit_test.hpp>

#include "ResponseFramer.h"

using namespace boragerack::node;

// Guards against lost or duplicated tokens when a read ends within an event, and against a
// truncated stream that is taken for complete.
BOOST_AUTO_TEST_CASE(eventsAreCutAtBlankLinesWhateverTheReads)
{
    const std::string stream = "data: {\"t\":1}\n\ndata: {\"t\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventStreamFramer framer;
        std::string text;
        std::uint64_t units = 0;
        for (std::size_t start = 0; start < stream.size(); start += size) {
            BOOST_TEST(!framer.isComplete());
            for (const ResponseChunk &chunk : framer.add(stream.substr(start, size))) {
                text += chunk.text;
                units += chunk.units;
            }
        }
        BOOST_TEST(text == stream);
        BOOST_TEST(units == 2U);
        BOOST_TEST(framer.isComplete());
    }
}
