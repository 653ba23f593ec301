#include <boost/test/unit_test.hpp>

#include "ResponseFramer.h"

using namespace boragerack::node;

// Guards against tokens that are lost or doubled when a read ends within an event, and against a
// stream without its end that counts as complete.
BOOST_AUTO_TEST_CASE(eventsAreCutAtBlankLinesWhateverTheReads)
{
    const std::string stream = "data: {\"t\":1}\n\ndata: {\"t\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventStreamFramer framing;
        std::string text;
        std::uint64_t units = 0;
        for (std::size_t start = 0; start < stream.size(); start += size) {
            BOOST_TEST(!framing.isComplete());
            for (const ResponseChunk &piece : framing.add(stream.substr(start, size))) {
                text += piece.text;
                units += piece.units;
            }
        }
        BOOST_TEST(text == stream);
        BOOST_TEST(units == 2U);
        BOOST_TEST(framing.isComplete());
    }
}
