# Defines one package of the workspace as a static library boragerack_<name> with public headers
# under include/ and private ones beside the sources. Test files tests/*Test.cpp become one test
# program. DEPENDS names other packages, LIBRARIES external ones.
function(boragerack_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    set(dependencies ${ARG_LIBRARIES})
    foreach(package ${ARG_DEPENDS})
        list(APPEND dependencies boragerack_${package})
    endforeach()
    if(sources)
        add_library(boragerack_${name} STATIC ${sources})
        target_include_directories(boragerack_${name} PUBLIC include PRIVATE src)
        target_link_libraries(boragerack_${name} PUBLIC ${dependencies})
    else()
        add_library(boragerack_${name} INTERFACE)
        target_include_directories(boragerack_${name} INTERFACE include)
        target_link_libraries(boragerack_${name} INTERFACE ${dependencies})
    endif()

    file(GLOB_RECURSE tests CONFIGURE_DEPENDS tests/*Test.cpp)
    if(tests AND BORAGERACK_TESTS)
        file(GLOB_RECURSE support CONFIGURE_DEPENDS tests/*.cpp)
        add_executable(${name}Test ${support} ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
        set_source_files_properties(${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp PROPERTIES
            COMPILE_DEFINITIONS BOOST_TEST_MODULE=boragerack)
        target_include_directories(${name}Test PRIVATE src tests)
        target_compile_definitions(${name}Test PRIVATE BOOST_TEST_DYN_LINK
            BORAGERACK_CHARTS_DIR="${BORAGERACK_CHARTS_DIR}"
            BORAGERACK_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
        set(testDependencies)
        foreach(package ${ARG_TEST_DEPENDS})
            list(APPEND testDependencies boragerack_${package})
        endforeach()
        target_link_libraries(${name}Test PRIVATE boragerack_${name} ${testDependencies}
            Boost::unit_test_framework rapidcheck)
        add_test(NAME ${name} COMMAND ${name}Test)
        # tools/test gives rapidcheck a fixed seed, so that results are the same in each run.
        set_tests_properties(${name} PROPERTIES TIMEOUT 600)
    endif()
endfunction()

# Adds an executable that is placed in <build>/bin.
function(boragerack_binary target)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${target} ${ARG_SOURCES})
    foreach(package ${ARG_DEPENDS})
        target_link_libraries(${target} PRIVATE boragerack_${package})
    endforeach()
    set_target_properties(${target} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
