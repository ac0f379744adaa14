#include "common/heap.h"

#include <assert.h>
#include <glib.h>

static void
put(GwHeap *heap, uint32_t at, GwHeapSlot slot)
{
    heap->slots[at] = slot;
    *slot.place = at;
}

static void
sift_up(GwHeap *heap, uint32_t at)
{
    GwHeapSlot slot = heap->slots[at];

    while (at > 0) {
        uint32_t parent = (at - 1) / 2;
        if (heap->slots[parent].key <= slot.key) {
            break;
        }
        put(heap, at, heap->slots[parent]);
        at = parent;
    }
    put(heap, at, slot);
}

static void
sift_down(GwHeap *heap, uint32_t at)
{
    GwHeapSlot slot = heap->slots[at];

    for (;;) {
        uint32_t child = 2 * at + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            heap->slots[child + 1].key < heap->slots[child].key) {
            child++;
        }
        if (slot.key <= heap->slots[child].key) {
            break;
        }
        put(heap, at, heap->slots[child]);
        at = child;
    }
    put(heap, at, slot);
}

/* Adds an item; *place must outlive its stay in the heap. */
void
GwHeap_Push(GwHeap *heap, int64_t key, void *item, uint32_t *place)
{
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity == 0 ? 64 : heap->capacity * 2;
        heap->slots = g_renew(GwHeapSlot, heap->slots, heap->capacity);
    }
    uint32_t at = heap->count++;
    put(heap, at, (GwHeapSlot){.key = key, .item = item, .place = place});
    sift_up(heap, at);
}

/* Takes the item at *place out and sets *place to GW_HEAP_OUT; does nothing
 * for an item that is in no heap. */
void
GwHeap_Remove(GwHeap *heap, uint32_t *place)
{
    if (*place == GW_HEAP_OUT) {
        return;
    }
    uint32_t at = *place;
    assert(at < heap->count && heap->slots[at].place == place);
    heap->count--;
    if (at != heap->count) {
        put(heap, at, heap->slots[heap->count]);
        sift_up(heap, at);
        sift_down(heap, at);
    }
    *place = GW_HEAP_OUT;
}

/* Gives the item at *place another key. */
void
GwHeap_Move(GwHeap *heap, uint32_t *place, int64_t key)
{
    assert(*place < heap->count);
    heap->slots[*place].key = key;
    sift_up(heap, *place);
    sift_down(heap, *place);
}

void *
GwHeap_Top(const GwHeap *heap)
{
    return heap->count == 0 ? NULL : heap->slots[0].item;
}

/* The smallest key, INT64_MAX when the heap is empty. */
int64_t
GwHeap_TopKey(const GwHeap *heap)
{
    return heap->count == 0 ? INT64_MAX : heap->slots[0].key;
}

/* Frees the heap, not its items. */
void
GwHeap_Free(GwHeap *heap)
{
    g_free(heap->slots);
    *heap = (GwHeap){0};
}
