/** Ids of requests. */

const run = Math.random().toString(16).slice(2, 10)
let lastId = 0

/** Returns an id that no other request has. */
export const newId = () => {
  lastId++
  return `${run}${lastId.toString(16).padStart(8, '0')}`
}
