# Installs into the build folder, builds the example against the installed
# package only, and runs it.
set(PREFIX ${BUILD}/embed/prefix)
set(EXAMPLE ${BUILD}/embed/build)
file(REMOVE_RECURSE ${BUILD}/embed)
set(FLAGS "")
if(SANITIZE)
  set(FLAGS "-fsanitize=${SANITIZE}")
endif()

function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE STATUS)
  if(NOT STATUS EQUAL 0)
    message(FATAL_ERROR "failed with ${STATUS}: ${ARGN}")
  endif()
endfunction()

run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${PREFIX})
run(${CMAKE_COMMAND} -S ${SOURCE}/examples/embed -B ${EXAMPLE} -G Ninja
  -DCMAKE_PREFIX_PATH=${PREFIX} -DCMAKE_CXX_FLAGS=${FLAGS}
  -DCMAKE_CXX_COMPILER_LAUNCHER=${LAUNCHER})
run(${CMAKE_COMMAND} --build ${EXAMPLE})
run(${EXAMPLE}/shelf_lookup)
